package org.wigeonwharf.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * An EngineJob is one answer of an engine: its tokens, and the connection that now carries it.
 *
 * <p>Every event of a stream names the stream, so that a splice of two runs can be seen. The state
 * that makes it up moves with it to another engine. Guarded by its engine.
 */
final class EngineJob {
  /**
   * The state of a job that another engine needs to go on.
   *
   * @param id the stream
   * @param tokens length of the whole answer
   * @param generated tokens generated so far
   */
  record State(String id, int tokens, int generated) {}

  private final String id;
  private final int tokens;
  private final boolean stream;
  private final StringBuilder text = new StringBuilder();
  private int generated;
  private int written;
  private boolean started;
  private @Nullable ClientConnection connection;

  /** When the next token is due, in monotonic nanoseconds. */
  long nextTokenNanos;

  /** When a job without a connection is forgotten, in monotonic nanoseconds. */
  long expiryNanos;

  /** Order among waiting jobs, 0 first. */
  int urgency;

  /** The connection that carries the answer. */
  private static final class ClientConnection {
    final Request request;
    final Response response;
    final Callback callback;
    volatile boolean writing;
    volatile boolean disconnected;

    ClientConnection(Request request, Response response, Callback callback) {
      this.request = request;
      this.response = response;
      this.callback = callback;
    }

    void writeCompleted() {
      writing = false;
    }

    void writeFailed() {
      disconnected = true;
      writing = false;
    }
  }

  EngineJob(String id, int tokens, boolean stream) {
    this.id = id;
    this.tokens = tokens;
    this.stream = stream;
  }

  /** Continues a job of another engine. */
  EngineJob(State state) {
    this(state.id(), state.tokens(), true);
    started = true;
    for (int i = 0; i < state.generated(); i++) {
      generate();
    }
  }

  String id() {
    return id;
  }

  boolean isStream() {
    return stream;
  }

  /** Notes that the job runs; true the first time over all engines. */
  boolean markStarted() {
    boolean first = !started;
    started = true;
    return first;
  }

  State state() {
    return new State(id, tokens, generated);
  }

  int textLength() {
    return text.length();
  }

  /** Hands the answer to a connection, from a byte on; an earlier connection is dropped. */
  void attach(Request request, Response response, Callback callback, int fromOffset) {
    detach();
    connection = new ClientConnection(request, response, callback);
    written = fromOffset;
  }

  /** Drops the connection, as a crash or a cut does. */
  void detach() {
    ClientConnection c = connection;
    connection = null;
    if (c != null) {
      StandInServer.dropConnection(c.request, c.callback);
    }
  }

  /** Tells whether the other side left. */
  boolean isDisconnected() {
    ClientConnection c = connection;
    return c != null && c.disconnected;
  }

  /** Ends the exchange with a side that left. */
  void failExchange() {
    ClientConnection c = connection;
    connection = null;
    if (c != null) {
      c.callback.failed(new IOException("caller left"));
    }
  }

  /** Writes what is there; true once the whole answer was handed over. */
  boolean write() {
    ClientConnection c = connection;
    if (c == null || c.writing || c.disconnected) {
      return false;
    }
    if (!stream) {
      return writeCompleteAnswer(c);
    }
    if (written < text.length()) {
      c.writing = true;
      ByteBuffer rest = utf8(text.substring(written));
      written = text.length();
      c.response.write(false, rest, Callback.from(c::writeCompleted, t -> c.writeFailed()));
      return false;
    }
    if (generated <= tokens) {
      return false;
    }
    c.response.write(true, null, c.callback);
    return true;
  }

  private boolean writeCompleteAnswer(ClientConnection c) {
    if (generated <= tokens) {
      return false;
    }
    c.response.write(
        true,
        utf8("{\"text\":\"" + text.toString().trim() + "\",\"tokens\":" + tokens + "}"),
        c.callback);
    return true;
  }

  /** Tells whether the generation waits for the other side to take what there is. */
  boolean isPaused() {
    ClientConnection c = connection;
    return c == null || c.writing;
  }

  /** Generates the next token or, after the last, the terminator. */
  void generate() {
    if (generated > tokens) {
      return;
    }
    text.append(stream ? event(id, generated, tokens) : word(generated, tokens));
    generated++;
  }

  private static String word(int index, int tokens) {
    return index == tokens ? "" : "t" + index + " ";
  }

  /**
   * Returns an event of a stream.
   *
   * @param id the stream
   * @param index the event, from 0
   * @param tokens length of the whole answer
   * @return the token's event, or the terminator after the last
   */
  static String event(String id, int index, int tokens) {
    if (index == tokens) {
      return "data: [DONE]\n\n";
    }
    return "data: {\"token\":\"t" + index + "\",\"stream\":\"" + id + "\"}\n\n";
  }

  private static ByteBuffer utf8(String s) {
    return ByteBuffer.wrap(s.getBytes(StandardCharsets.UTF_8));
  }
}
