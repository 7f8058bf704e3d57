package org.wigeonwharf.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.Verdict;

/**
 * A Problem is an error answer of the router itself, as RFC 9457 describes it.
 *
 * @param status the HTTP status
 * @param reason a short word for programs
 * @param detail a sentence for people
 * @param verdict whether the request may have run
 * @param retryAfterMillis when to try again, or 0 to give no hint
 */
public record Problem(
    int status, String reason, String detail, Verdict verdict, long retryAfterMillis) {
  /** Media type of the body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Describes a request that was turned away before anything ran.
   *
   * @param status a status from 400 to 499
   * @param reason a short word
   * @param detail a sentence
   * @return the problem
   */
  public static Problem badRequest(int status, String reason, String detail) {
    return new Problem(status, reason, detail, Verdict.NOT_RUN, 0);
  }

  /**
   * Describes a scheduler's refusal.
   *
   * @param reason why
   * @param verdict whether an earlier attempt may have run
   * @param retryAfterMillis when to try again
   * @return the problem
   */
  public static Problem refused(RefusalReason reason, Verdict verdict, long retryAfterMillis) {
    String detail = "The request was refused: " + reason.wireName() + ".";
    return new Problem(reason.status(), reason.wireName(), detail, verdict, retryAfterMillis);
  }

  /**
   * Returns the JSON body.
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
      throw new IllegalStateException("texts and numbers always have a JSON form", e);
    }
  }
}
