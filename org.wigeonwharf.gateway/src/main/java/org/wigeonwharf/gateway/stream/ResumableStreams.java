package org.wigeonwharf.gateway.stream;

import org.wigeonwharf.model.Clock;

/** Records the resumable streams of this router's callers and resolves those that are resumed. */
public final class ResumableStreams {
  private final StreamOrigins origins;
  private final StreamDurations durations;
  private final ResumptionResolver resolver;
  private final Clock clock;

  /**
   * Creates an instance.
   *
   * @param origins the streams that routers have forwarded
   * @param durations how long callers wait for streams
   * @param resolver finds the software version of a stream
   * @param clock monotonic clock
   */
  public ResumableStreams(
      StreamOrigins origins, StreamDurations durations, ResumptionResolver resolver, Clock clock) {
    this.origins = origins;
    this.durations = durations;
    this.resolver = resolver;
    this.clock = clock;
  }

  /** Returns how long callers wait for streams. */
  public StreamDurations durations() {
    return durations;
  }

  /**
   * Records which software version has written the events of a stream.
   *
   * @param requestId id of the caller's attempt that received the first event
   * @param service the name of the service
   * @param softwareVersion the software version
   */
  public void recordOrigin(String requestId, String service, String softwareVersion) {
    origins.record(requestId, service, softwareVersion, clock.nanos());
  }

  /**
   * Finds the software version that a stream has to be continued at.
   *
   * @param resumption the caller's request
   */
  public Resolution resolve(StreamResumption resumption) {
    return resolver.resolve(resumption);
  }
}
