package org.wigeonwharf.gateway.route;

/**
 * Describes how gently the servers of a service have to be started.
 *
 * @param seconds time in seconds for which a server usually stays cold after its start
 * @param perSecond requests per second that a cold server tolerates from all routers together; 0 if
 *     servers bear full load from their start
 */
public record ColdStart(double seconds, double perSecond) {
  /** Describes servers that bear full load from their start. */
  public static final ColdStart NONE = new ColdStart(0, 0);

  /** Returns whether cold servers get only a limited rate. */
  public boolean isLimited() {
    return perSecond > 0;
  }
}
