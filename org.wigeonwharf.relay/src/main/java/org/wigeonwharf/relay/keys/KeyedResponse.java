package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import java.util.List;
import org.wigeonwharf.model.Verdict;

/**
 * A KeyedAnswer is a backend server's whole answer to a keyed request.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields, without the length
 * @param body the whole body
 * @param server the name of the backend server that answered
 */
public record KeyedResponse(int status, List<HeaderLine> headers, ByteString body, String server) {
  /** Longest answer that a keyed request may have, in bytes. */
  public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /**
   * Tells whether the request ran.
   *
   * @return ran, or may have run if the backend server answered with an error of its own
   */
  public Verdict verdict() {
    return status < MIN_SERVER_ERROR_STATUS ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
  }
}
