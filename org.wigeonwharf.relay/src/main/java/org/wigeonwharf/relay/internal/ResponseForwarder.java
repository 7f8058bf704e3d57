package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * An AnswerPump copies an answer's content to the caller, one chunk at a time.
 *
 * <p>It reads the next chunk only after the caller's connection took the last one, so that a slow
 * caller holds back its own stream and no memory piles up.
 */
final class ResponseForwarder {
  /** Hears the chunks and the end of the copy. */
  interface Listener {
    /** A chunk with content is about to be forwarded; the buffer must not be consumed. */
    void onContent(ByteBuffer content);

    /** All content came and framing says that it is whole; nothing was yet ended at the caller. */
    void onContentComplete();

    /** The backend server's content broke off. */
    void onBackendFailed(Throwable cause);

    /** The caller's connection failed. */
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
