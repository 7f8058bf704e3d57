package org.wigeonwharf.standin.restart;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A StreamCaller asks for one streamed answer and tells whether it came whole. */
final class StreamCaller {
  private static final String CHAT = "/v1/chat/completions";
  private static final String BODY = "{\"max_tokens\":50,\"stream\":true}";
  private static final String DONE = "data: [DONE]";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final RouterCalls calls;
  private final RestartTally tally;

  StreamCaller(RouterCalls calls, RestartTally tally) {
    this.calls = calls;
    this.tally = tally;
  }

  void call() throws InterruptedException {
    try {
      HttpResponse<String> answer = calls.post(CHAT, BODY, null, TIMEOUT);
      if (answer.statusCode() != 200) {
        tally.streamRefused();
      } else if (answer.body().contains(DONE)) {
        tally.streamWhole();
      } else {
        tally.streamCut();
      }
    } catch (IOException e) {
      tally.streamCut();
    }
  }
}
