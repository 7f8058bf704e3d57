package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.util.Set;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;

/**
 * Sends the error responses of the HTTP server that do not come from the relay's handler.
 *
 * <p>These are for request heads that are invalid, too long or incomplete, whose requests are not
 * run, and for internal errors of the process.
 */
public final class ProblemErrorHandler implements Request.Handler {
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final Set<Integer> REJECTED_SERVER_ERRORS =
      Set.of(HttpStatus.NOT_IMPLEMENTED_501, HttpStatus.HTTP_VERSION_NOT_SUPPORTED_505);
  private static final String NO_ID = "none";

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    int status = response.getStatus();
    boolean rejected = status < MIN_SERVER_ERROR_STATUS || REJECTED_SERVER_ERRORS.contains(status);
    Problem p =
        rejected
            ? Problem.badRequest(status, "bad-request", "The request is no valid HTTP request.")
            : new Problem(status, "internal", "The router failed.", Verdict.MAY_HAVE_RUN, 0);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, Problem.MEDIA_TYPE);
    response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    response.getHeaders().put(RelayHeaders.VERDICT, p.verdict().wireName());
    response.write(true, ByteBuffer.wrap(p.toJson(NO_ID)), callback);
    return true;
  }
}
