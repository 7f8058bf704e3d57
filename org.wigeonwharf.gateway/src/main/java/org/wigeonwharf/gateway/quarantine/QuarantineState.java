package org.wigeonwharf.gateway.quarantine;

import java.util.List;
import java.util.Map;

/**
 * Holds what routers tell each other about crashes and quarantined prompt parts.
 *
 * <p>States are merged by union, so that they may arrive in any order and more than once. Parts are
 * given by their {@link EvidenceKey}, and all requests that a server answered when it ended stand
 * under {@code answering}.
 *
 * @param ends the recent ends of backend servers
 * @param proven age, in nanoseconds, of the last proof for each suspected part that it is harmless
 * @param quarantined the quarantined parts
 */
public record QuarantineState(
    List<AgedEnd> ends, Map<String, Long> proven, List<QuarantinedPart> quarantined) {
  /** The state of a router that has seen no crash. */
  public static final QuarantineState EMPTY = new QuarantineState(List.of(), Map.of(), List.of());

  /**
   * Holds an end of a backend server and its age.
   *
   * @param end the end
   * @param ageNanos time since the end in nanoseconds
   */
  public record AgedEnd(ServerEnd end, long ageNanos) {}

  /**
   * Describes the quarantine of one part.
   *
   * @param part the part's id
   * @param ageNanos time since the quarantine began in nanoseconds
   * @param remainingNanos time until it ends in nanoseconds
   * @param strikes how many times in succession the part was quarantined
   */
  public record QuarantinedPart(String part, long ageNanos, long remainingNanos, int strikes) {}

  /** Copies the collections. */
  public QuarantineState {
    ends = List.copyOf(ends);
    proven = Map.copyOf(proven);
    quarantined = List.copyOf(quarantined);
  }
}
