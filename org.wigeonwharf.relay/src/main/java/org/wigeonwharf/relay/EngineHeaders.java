package org.wigeonwharf.relay;

/**
 * Defines the HTTP headers and paths with which streams of an engine are resumed.
 *
 * <p>An engine sends a stream's id in the response head. If the connection is lost, the engine
 * stops generating and retains the stream for a limited time. {@code POST /v1/streams/ID/resume}
 * continues the same run at a byte offset and never starts a new one. If another engine has the
 * stream, the source header names the engine to import its state from. {@code DELETE
 * /v1/streams/ID} cancels the stream.
 */
public final class EngineHeaders {
  /** Response: the engine's id of the stream. */
  public static final String STREAM_ID = "Engine-Stream-Id";

  /** Request and response: the byte offset in the stream's body at which it continues. */
  public static final String STREAM_OFFSET = "Engine-Stream-Offset";

  /** Request: IP address and port of the engine that last had the stream. */
  public static final String STREAM_SOURCE = "Engine-Stream-Source";

  /** Prefix of the paths of streams. */
  public static final String STREAMS_PREFIX = "/v1/streams/";

  private EngineHeaders() {}
}
