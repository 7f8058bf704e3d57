package org.wigeonwharf.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** StreamCheck judges the body of a stream against the one run that its events name. */
final class StreamCheck {
  private static final Pattern RUN = Pattern.compile("\"stream\":\"([^\"]+)\"");

  private static final int FIRST_EVENT = 60;

  private StreamCheck() {}

  /** Returns how many runs the events of a body come from. */
  static long runs(String body) {
    return RUN.matcher(body).results().map(m -> m.group(1)).distinct().count();
  }

  static boolean isWhole(String body, int tokens) {
    return body.equals(expected(body, tokens));
  }

  static boolean isPrefix(String body, int tokens) {
    return expected(body, tokens).startsWith(body)
        || runs(body) == 0 && body.length() < FIRST_EVENT;
  }

  private static String expected(String body, int tokens) {
    Matcher m = RUN.matcher(body);
    String run = m.find() ? m.group(1) : "";
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      s.append("data: {\"token\":\"t%d\",\"stream\":\"%s\"}\n\n".formatted(i, run));
    }
    return s.append("data: [DONE]\n\n").toString();
  }
}
