package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Forwards the content of a response to the caller, one chunk at a time.
 *
 * <p>Reads the next chunk only after the last one was written to the caller's connection. This
 * applies backpressure from a slow caller to its backend server and bounds memory use.
 */
final class ResponseForwarder {
  /** Receives the events of the forwarding. */
  interface Listener {
    /** Called before a chunk with content is forwarded; must not consume the buffer. */
    void onContent(ByteBuffer content);

    /**
     * Called when all content was forwarded and its framing is complete; the response to the caller
     * has not been ended yet.
     */
    void onContentComplete();

    /** Called when the content could not be read to its end. */
    void onBackendFailed(Throwable cause);

    /** Called when a write to the caller failed. */
    void onCallerFailed(Throwable cause);
  }

  private final Content.Source source;
  private final CallerExchange caller;
  private final Listener listener;

  ResponseForwarder(Content.Source source, CallerExchange caller, Listener listener) {
    this.source = source;
    this.caller = caller;
    this.listener = listener;
  }

  void forwardNext() {
    Content.Chunk chunk = source.read();
    if (chunk == null) {
      source.demand(this::forwardNext);
      return;
    }
    if (Content.Chunk.isFailure(chunk)) {
      listener.onBackendFailed(chunk.getFailure());
      return;
    }
    ByteBuffer content = chunk.getByteBuffer();
    boolean last = chunk.isLast();
    if (!BufferUtil.hasContent(content)) {
      chunk.release();
      advance(last);
      return;
    }
    listener.onContent(content.asReadOnlyBuffer());
    caller
        .response()
        .write(
            false,
            content,
            Callback.from(() -> writeSucceeded(chunk, last), t -> writeFailed(chunk, t)));
  }

  private void writeSucceeded(Content.Chunk chunk, boolean last) {
    chunk.release();
    advance(last);
  }

  private void writeFailed(Content.Chunk chunk, Throwable cause) {
    chunk.release();
    listener.onCallerFailed(cause);
  }

  private void advance(boolean last) {
    if (last) {
      listener.onContentComplete();
    } else {
      source.demand(this::forwardNext);
    }
  }
}
