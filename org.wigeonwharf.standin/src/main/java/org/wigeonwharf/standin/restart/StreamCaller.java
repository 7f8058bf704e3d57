package org.wigeonwharf.standin.restart;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Requests streamed responses and records whether each one was complete. */
final class StreamCaller {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String BODY = "{\"max_tokens\":50,\"stream\":true}";
  private static final String DONE_EVENT = "data: [DONE]";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final RouterClient client;
  private final RestartResults results;

  StreamCaller(RouterClient client, RestartResults results) {
    this.client = client;
    this.results = results;
  }

  void requestStream() throws InterruptedException {
    try {
      HttpResponse<String> response = client.post(CHAT_PATH, BODY, null, TIMEOUT);
      if (response.statusCode() != 200) {
        results.recordRefusedStream();
      } else if (response.body().contains(DONE_EVENT)) {
        results.recordCompleteStream();
      } else {
        results.recordInterruptedStream();
      }
    } catch (IOException e) {
      results.recordInterruptedStream();
    }
  }
}
