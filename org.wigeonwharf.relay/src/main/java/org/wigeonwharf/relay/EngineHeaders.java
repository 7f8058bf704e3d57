package org.wigeonwharf.relay;

/**
 * EngineHeaders names the HTTP surface by which engines let their streams be continued.
 *
 * <p>An engine names a stream in the head of its answer. If the connection breaks, it stops
 * generating and keeps the stream for a while. {@code POST /v1/streams/ID/resume} continues it at a
 * byte offset: the same run, never a new one. If the stream is on another engine, the source header
 * says where its state is to be imported from. {@code DELETE /v1/streams/ID} gives it up.
 */
public final class EngineHeaders {
  /** Answer: the engine's name of the stream. */
  public static final String STREAM_ID = "Engine-Stream-Id";

  /** Request and answer: the byte of the stream's body from which the answer continues. */
  public static final String STREAM_OFFSET = "Engine-Stream-Offset";

  /** Request: IP and port of the engine that last held the stream. */
  public static final String STREAM_SOURCE = "Engine-Stream-Source";

  /** Start of the paths of streams. */
  public static final String STREAMS_PREFIX = "/v1/streams/";

  private EngineHeaders() {}
}
