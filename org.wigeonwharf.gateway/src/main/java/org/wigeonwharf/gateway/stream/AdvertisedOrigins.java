package org.wigeonwharf.gateway.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Holds the streams that the next messages to peers advertise, the newest first. */
final class AdvertisedOrigins {
  /** Maximum number of streams in one message. */
  private static final int MAX_ORIGINS = 400;

  /** Maximum number of streams that wait; the oldest are discarded beyond that. */
  private static final int MAX_WAITING = 10_000;

  /** Number of messages that carry each stream, so that a lost one is made up for. */
  private static final int MESSAGES = 2;

  private final Deque<Waiting> waiting = new ArrayDeque<>();

  private record Waiting(StreamOrigin origin, long addedAt, int messages) {}

  void add(StreamOrigin origin, long now) {
    waiting.addFirst(new Waiting(origin, now, MESSAGES));
    if (waiting.size() > MAX_WAITING) {
      waiting.removeLast();
    }
  }

  /**
   * Returns the streams of the next message.
   *
   * @param maxChars maximum length of all ids together
   * @param now the current time in nanoseconds
   */
  List<StreamOrigin> next(int maxChars, long now) {
    List<StreamOrigin> taken = new ArrayList<>();
    List<Waiting> again = new ArrayList<>();
    int chars = 0;
    while (!waiting.isEmpty() && taken.size() < MAX_ORIGINS) {
      StreamOrigin o = waiting.getFirst().origin();
      if (chars + o.requestId().length() > maxChars) {
        break;
      }
      Waiting w = waiting.removeFirst();
      chars += o.requestId().length();
      long age = o.ageNanos() + now - w.addedAt();
      taken.add(new StreamOrigin(o.requestId(), o.service(), o.softwareVersion(), age));
      if (w.messages() > 1) {
        again.add(new Waiting(o, w.addedAt(), w.messages() - 1));
      }
    }
    waiting.addAll(again);
    return taken;
  }
}
