package org.wigeonwharf.relay.internal;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.relay.EngineHeaders;

/**
 * Tells an engine that a stream will not be resumed. If the message is lost, the engine only keeps
 * the stream's memory for longer.
 */
final class StreamCanceller {
  private static final Logger LOG = LoggerFactory.getLogger(StreamCanceller.class);

  private StreamCanceller() {}

  static void cancel(HttpClient client, ResumePoint point) {
    client
        .newRequest(
            point.source().address().getAddress().getHostAddress(),
            point.source().address().getPort())
        .method(HttpMethod.DELETE)
        .path(EngineHeaders.STREAMS_PREFIX + point.streamId())
        .send(
            result -> {
              if (result.isFailed()) {
                LOG.atDebug()
                    .addKeyValue("event", "stream.cancel.failed")
                    .log("cannot cancel the stream; the engine keeps it until it expires");
              }
            });
  }
}
