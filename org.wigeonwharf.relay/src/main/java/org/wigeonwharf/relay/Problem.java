package org.wigeonwharf.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.Verdict;

/**
 * An error response of the router itself, in the format of RFC 9457.
 *
 * @param status the HTTP status
 * @param reason a short code for programs
 * @param detail a sentence for humans
 * @param verdict whether the request may have run
 * @param retryAfterMillis time after which to retry, in milliseconds, or 0 for no hint
 */
public record Problem(
    int status, String reason, String detail, Verdict verdict, long retryAfterMillis) {
  /** Media type of the response body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Creates the problem of a request that was rejected before it was sent to a backend server.
   *
   * @param status a status from 400 to 499
   * @param reason a short code
   * @param detail a sentence
   * @return the problem
   */
  public static Problem badRequest(int status, String reason, String detail) {
    return new Problem(status, reason, detail, Verdict.NOT_RUN, 0);
  }

  /**
   * Creates the problem of a request that a scheduler refused.
   *
   * @param reason the reason for the refusal
   * @param verdict whether an earlier attempt may have run
   * @param retryAfterMillis time after which to retry, in milliseconds, or 0 for no hint
   * @return the problem
   */
  public static Problem refused(RefusalReason reason, Verdict verdict, long retryAfterMillis) {
    String detail = "The request was refused: " + reason.wireName() + ".";
    return new Problem(reason.status(), reason.wireName(), detail, verdict, retryAfterMillis);
  }

  /**
   * Returns the JSON form of the problem.
   *
   * @param requestId the request's id
   * @return UTF-8 bytes
   */
  public byte[] toJson(String requestId) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("type", "about:blank");
    body.put("title", reason);
    body.put("status", status);
    body.put("detail", detail);
    body.put("verdict", verdict.wireName());
    body.put("request_id", requestId);
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a problem to JSON", e);
    }
  }
}
