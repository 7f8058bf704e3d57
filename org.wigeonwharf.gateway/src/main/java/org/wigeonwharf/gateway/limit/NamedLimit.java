package org.wigeonwharf.gateway.limit;

/**
 * Holds what a backend server last said of the request rate that it accepts.
 *
 * @param perSecond requests per second from all routers together; negative if it named no limit
 * @param ageNanos time in nanoseconds since it said so
 */
public record NamedLimit(double perSecond, long ageNanos) {
  /** The rate that stands for no limit. */
  public static final double NONE = -1;

  /** Tells whether the server accepts only a limited rate. */
  public boolean isLimited() {
    return perSecond >= 0;
  }
}
