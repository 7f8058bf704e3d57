package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import java.util.List;
import org.wigeonwharf.model.Verdict;

/**
 * A backend server's complete response to a keyed request.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields, without {@code Content-Length}
 * @param body the complete body
 * @param server the name of the backend server that answered
 */
public record KeyedResponse(int status, List<HeaderLine> headers, ByteString body, String server) {
  /** Maximum size of the response body to a keyed request. */
  public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /**
   * Returns whether the request ran.
   *
   * @return {@link Verdict#RAN}, or {@link Verdict#MAY_HAVE_RUN} if the status is a server error
   */
  public Verdict verdict() {
    return status < MIN_SERVER_ERROR_STATUS ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
  }
}
