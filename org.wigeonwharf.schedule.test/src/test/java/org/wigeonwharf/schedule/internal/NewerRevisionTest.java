package org.wigeonwharf.schedule.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/**
 * Checks requests whose router has a newer configuration than the scheduler.
 *
 * <p>A scheduler that had not received the newer revision yet would refuse a request under a limit
 * that this revision raises.
 */
class NewerRevisionTest {
  private static final FailureDomain DOMAIN = new FailureDomain("d0");
  private static final ShardId SHARD = new ShardId(new ServiceId("s"), DOMAIN, 0);
  private static final NodeId SELF = new NodeId("vm0", 1);
  private static final long SESSION = 1;

  private final List<ScheduleMessage> sent = new ArrayList<>();
  private final List<Long> reportedRevisions = new ArrayList<>();
  private long now;
  private SchedulerHost host;

  private static Snapshot snapshot(long revision, int concurrent) {
    String text =
        """
        [tiers.t]
        rank = 0
        [classes.c]
        tier = "t"
        [services.s]
        kind = "plain"
        [services.s.servers.x]
        address = "127.0.0.1:1"
        domain = "d0"
        [accounts.a]
        classes = ["c"]
        default_class = "c"
        [accounts.a.limits]
        concurrent = %d
        """;
    List<SettingsFile> files = List.of(new SettingsFile("a.toml", text.formatted(concurrent)));
    return new Snapshot(revision, files, ConfigParser.parse(files).get());
  }

  @BeforeEach
  void startScheduler() {
    Peer self = new Peer(SELF, DOMAIN, new InetSocketAddress("127.0.0.1", 1));
    host =
        new SchedulerHost(
            SELF,
            () -> now,
            (to, m) -> sent.add(m),
            (peer, revision) -> reportedRevisions.add(revision));
    host.configure(snapshot(1, 0));
    host.view(new MembershipView(SELF, List.of(new Member(self, false, 1, 0))));
    host.register(SHARD, SELF, SESSION, new Registration(List.of(), List.of()));
    sent.clear();
  }

  private void request(long sequence, long revision) {
    host.submit(
        SESSION,
        new SlotRequest(
            new RequestId(SELF, sequence),
            SHARD,
            new ClassId("c"),
            new AccountId("a"),
            0,
            0,
            0,
            true,
            revision));
  }

  private Set<ScheduleMessage.KindCase> decisions() {
    Set<ScheduleMessage.KindCase> kinds = new TreeSet<>();
    sent.forEach(m -> kinds.add(m.getKindCase()));
    return kinds;
  }

  @Test
  void requestWaitsForConfigurationThatRaisesItsLimit() {
    request(1, 2);
    assertEquals(Set.of(), decisions());
    assertEquals(List.of(2L), reportedRevisions);
    host.configure(snapshot(2, 1));
    assertEquals(Set.of(ScheduleMessage.KindCase.GRANT), decisions());
  }

  @Test
  void currentConfigurationDecidesAfterDeferralTimeout() {
    request(1, 2);
    now += DeferredRequests.MAX_DEFERRAL_NANOS - Clock.NANOS_PER_MILLI;
    host.tick();
    assertEquals(Set.of(), decisions());
    now += Clock.NANOS_PER_MILLI;
    host.tick();
    assertEquals(Set.of(ScheduleMessage.KindCase.REFUSAL), decisions());
  }

  @Test
  void cancelledDeferredRequestGetsNoDecision() {
    request(1, 2);
    host.cancel(SHARD, SESSION, new RequestId(SELF, 1));
    host.configure(snapshot(2, 1));
    assertEquals(Set.of(), decisions());
  }
}
