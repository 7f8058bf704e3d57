package org.wigeonwharf.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Generates one answer of an engine stand-in and writes it to the client connection attached to it.
 *
 * <p>Every event of a stream carries the stream's identifier, so that a test can detect an answer
 * spliced together from two executions. {@link State} transfers a stream to another engine. All
 * access is guarded by the lock of the engine that owns the job.
 */
final class EngineJob {
  /**
   * Holds the state that another engine needs to continue a stream.
   *
   * @param id identifier of the stream
   * @param tokens length of the complete answer in tokens
   * @param generated number of tokens generated so far, plus one once the terminator is generated
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

  /** Time at which the next token is due, in monotonic nanoseconds. */
  long nextTokenNanos;

  /** Time at which a job without a connection is discarded, in monotonic nanoseconds. */
  long expiryNanos;

  /** Urgency from the Priority header; waiting jobs with lower values start first. */
  int urgency;

  /** The exchange with the client that reads the answer. */
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

  /** Creates a job that continues a stream exported by another engine. */
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

  /** Marks the job as started; returns true if no engine has started it before. */
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

  /**
   * Attaches a client connection that receives the answer from a byte offset on, and drops any
   * earlier connection.
   */
  void attach(Request request, Response response, Callback callback, int fromOffset) {
    detach();
    connection = new ClientConnection(request, response, callback);
    written = fromOffset;
  }

  /** Detaches and drops the client connection, as an engine crash or a network failure does. */
  void detach() {
    ClientConnection c = connection;
    connection = null;
    if (c != null) {
      StandInServer.dropConnection(c.request, c.callback);
    }
  }

  /** Returns whether a write failed because the client disconnected. */
  boolean isDisconnected() {
    ClientConnection c = connection;
    return c != null && c.disconnected;
  }

  /** Detaches the connection of a client that disconnected and fails its exchange. */
  void failExchange() {
    ClientConnection c = connection;
    connection = null;
    if (c != null) {
      c.callback.failed(new IOException("client disconnected"));
    }
  }

  /** Writes the text not yet written; returns true once the final write has been issued. */
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

  /** Returns whether generation is paused: no client is attached or a write is still pending. */
  boolean isPaused() {
    ClientConnection c = connection;
    return c == null || c.writing;
  }

  /** Generates the next token, or the terminator after the last token. */
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
   * Formats one server-sent event of a stream.
   *
   * @param id identifier of the stream
   * @param index index of the event, from 0
   * @param tokens length of the complete answer in tokens
   * @return the event of the token, or the terminator if the index equals the length
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
