package org.wigeonwharf.standin.measure;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.CheckCommand;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Decision;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardScheduler;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * Measures the time that one grant takes: the end of a lease, the grant that follows from it and
 * the arrival of another waiting request.
 */
public final class GrantCostMain {
  private static final int WARM_UP_ROUNDS = 100_000;
  private static final int MEASURED_ROUNDS = 200_000;
  private static final int SLOTS_PER_SERVER = 8;
  private static final int[] WAITER_COUNTS = {10, 100, 1_000};
  private static final int[] SERVER_COUNTS = {8, 32};

  private final PublishedConfig config;
  private final BackendServer server;
  private final ShardId shard;
  private final ShardScheduler scheduler;
  private final Deque<Decision.Grant> runningGrants = new ArrayDeque<>();
  private final List<ClassId> classes;
  private final List<AccountId> accounts;
  private long sequence;
  private long now;

  private GrantCostMain(PublishedConfig config) {
    this.config = config;
    this.server = config.services().values().iterator().next().servers().values().iterator().next();
    this.shard = new ShardId(server.service(), server.domain(), 0);
    this.scheduler = new ShardScheduler(shard, () -> now);
    this.classes = List.copyOf(config.classes().keySet());
    this.accounts = List.copyOf(config.accounts().keySet());
  }

  /**
   * Prints the time of a grant for several numbers of servers and waiting requests.
   *
   * @param args the configuration folder
   */
  public static void main(String[] args) {
    PublishedConfig config = new CheckCommand().setFolder(Path.of(args[0])).call().get();
    System.out.println("| servers | waiters | ns a grant |");
    System.out.println("| --- | --- | --- |");
    for (int servers : SERVER_COUNTS) {
      for (int waiters : WAITER_COUNTS) {
        long nanos = new GrantCostMain(config).nanosPerGrant(servers, waiters);
        System.out.printf("| %d | %d | %d |%n", servers, waiters, nanos);
      }
    }
  }

  private long nanosPerGrant(int servers, int waiters) {
    List<BackendServer> backendServers = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      ServerId id = new ServerId("x" + i);
      backendServers.add(
          new BackendServer(
              id, server.service(), server.domain(), server.address(), SLOTS_PER_SERVER, false));
    }
    recordGrants(scheduler.configure(config, backendServers));
    while (scheduler.waiting() < waiters) {
      submitRequest();
    }
    runRounds(WARM_UP_ROUNDS);
    long start = System.nanoTime();
    runRounds(MEASURED_ROUNDS);
    return (System.nanoTime() - start) / MEASURED_ROUNDS;
  }

  private void submitRequest() {
    int n = (int) (++sequence % 1_000_003);
    recordGrants(
        scheduler.submit(
            new SlotRequest(
                new RequestId(new NodeId("vm", 1), sequence),
                shard,
                classes.get(n % classes.size()),
                accounts.get(n / classes.size() % accounts.size()),
                0,
                n,
                0,
                true,
                1)));
  }

  private void runRounds(int rounds) {
    for (int i = 0; i < rounds; i++) {
      now += 1_000;
      Decision.Grant g = runningGrants.remove();
      recordGrants(
          scheduler.recordOutcome(
              new Outcome(
                  g.request(), shard, g.lease(), g.server(), LeaseEnd.FINISHED, 200, 50, 2_200)));
      submitRequest();
    }
  }

  private void recordGrants(List<Decision> decisions) {
    for (Decision d : decisions) {
      if (d instanceof Decision.Grant g) {
        runningGrants.add(g);
      }
    }
  }
}
