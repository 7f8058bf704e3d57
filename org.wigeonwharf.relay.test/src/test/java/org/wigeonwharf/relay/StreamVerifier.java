package org.wigeonwharf.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Compares the body of a stream with the expected events of the run named in it. */
final class StreamVerifier {
  private static final Pattern RUN_ID = Pattern.compile("\"stream\":\"([^\"]+)\"");

  private static final int MAX_PARTIAL_EVENT_CHARS = 60;

  private StreamVerifier() {}

  /** Returns the number of runs from which the events of a body come. */
  static long countRuns(String body) {
    return RUN_ID.matcher(body).results().map(m -> m.group(1)).distinct().count();
  }

  static boolean isComplete(String body, int tokens) {
    return body.equals(expected(body, tokens));
  }

  static boolean isPrefix(String body, int tokens) {
    return expected(body, tokens).startsWith(body)
        || countRuns(body) == 0 && body.length() < MAX_PARTIAL_EVENT_CHARS;
  }

  private static String expected(String body, int tokens) {
    Matcher m = RUN_ID.matcher(body);
    String runId = m.find() ? m.group(1) : "";
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      s.append("data: {\"token\":\"t%d\",\"stream\":\"%s\"}\n\n".formatted(i, runId));
    }
    return s.append("data: [DONE]\n\n").toString();
  }
}
