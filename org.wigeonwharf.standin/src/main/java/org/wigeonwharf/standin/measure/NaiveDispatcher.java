package org.wigeonwharf.standin.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Dispatches without coordination, as a baseline: each router assigns jobs round robin to the
 * servers of its failure domain, and each server queues them first in, first out.
 */
final class NaiveDispatcher implements Dispatcher {
  private final Fleet fleet;
  private final Map<Integer, Integer> requestCounts = new HashMap<>();
  private final Map<Job, ServerModel> assignments = new HashMap<>();

  NaiveDispatcher(Fleet fleet) {
    this.fleet = fleet;
  }

  @Override
  public void submit(Job job) {
    List<ServerModel> servers = fleet.serversOf(fleet.domainOf(job.routerIndex));
    int i = requestCounts.merge(job.routerIndex, 1, Integer::sum);
    ServerModel s = servers.get(i % servers.size());
    assignments.put(job, s);
    job.attempts++;
    s.submit(job, assignments::remove);
  }

  @Override
  public void cancel(Job job) {
    ServerModel s = assignments.remove(job);
    if (s != null) {
      s.cancel(job);
    }
  }

  @Override
  public void tick() {
    // No periodic work: the servers start queued jobs themselves.
  }
}
