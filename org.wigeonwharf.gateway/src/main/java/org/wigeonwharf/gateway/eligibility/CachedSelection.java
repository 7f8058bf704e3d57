package org.wigeonwharf.gateway.eligibility;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Keeps the results of a filter, so that a choice does not examine all servers again while the list
 * of servers stays the same. Not thread-safe.
 *
 * @param <K> what the selection depends on beside the list of servers
 */
final class CachedSelection<K> {
  /** Maximum number of results; all are discarded when it is reached. */
  private static final int MAX_RESULTS = 512;

  private final Map<K, Result> results = new HashMap<>();

  private record Result(List<BackendServer> servers, List<BackendServer> selected) {}

  /**
   * Selects the permitted servers.
   *
   * @param key what the selection depends on
   * @param servers the servers, in a list that is never modified
   * @param permitted tells whether a server is selected
   * @return the selected servers in the same order; {@code servers} itself if all are
   */
  List<BackendServer> select(
      K key, List<BackendServer> servers, Predicate<BackendServer> permitted) {
    Result known = results.get(key);
    if (known != null && known.servers == servers) {
      return known.selected;
    }
    List<BackendServer> selected =
        servers.stream().allMatch(permitted)
            ? servers
            : servers.stream().filter(permitted).toList();
    if (results.size() >= MAX_RESULTS) {
      results.clear();
    }
    results.put(key, new Result(servers, selected));
    return selected;
  }

  /** Discards all results, because servers may be permitted now that were not, or vice versa. */
  void clear() {
    results.clear();
  }
}
