package org.wigeonwharf.relay.internal;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.relay.EngineHeaders;

/** StreamCancel tells an engine that nobody will continue a stream; a loss costs only memory. */
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
                    .log("the engine keeps the stream until it expires");
              }
            });
  }
}
