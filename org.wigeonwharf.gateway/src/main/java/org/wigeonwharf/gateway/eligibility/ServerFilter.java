package org.wigeonwharf.gateway.eligibility;

import java.util.List;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Demand;

/**
 * Excludes servers that a request must not be sent to.
 *
 * <p>A filter binds every path of a request: its first choice, retries, resumed streams, held
 * requests and the engines that its prompt is fetched from. Not thread-safe.
 */
public interface ServerFilter {
  /**
   * Selects the servers that remain.
   *
   * @param demand the request
   * @param servers the servers in the order of their ids
   * @return those that the request may be sent to, in the same order; the same list if none is
   *     excluded
   */
  List<BackendServer> select(Demand demand, List<BackendServer> servers);

  /** Returns why a request finds no server if this filter has excluded the last one. */
  String reason();
}
