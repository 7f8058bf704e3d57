package org.wigeonwharf.gateway.overload;

/** States what becomes of a request for which no server has room. */
public sealed interface OverloadDecision {
  /**
   * The request waits.
   *
   * @param expected true if a server is expected to have room for it while its caller waits; false
   *     if too little is known to say so
   */
  record Wait(boolean expected) implements OverloadDecision {}

  /**
   * The request is refused immediately, because no server can answer it while its caller waits.
   *
   * @param startMillis estimated time in ms until a server could begin with it
   * @param patienceMillis time in ms for which its caller waits
   */
  record Refuse(double startMillis, double patienceMillis) implements OverloadDecision {}
}
