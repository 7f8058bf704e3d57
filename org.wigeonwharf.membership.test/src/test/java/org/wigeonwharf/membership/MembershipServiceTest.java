package org.wigeonwharf.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerMessageHandler;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;

/**
 * Guards against a router without peers that never takes its scheduler roles: its view does not
 * change after the start, so its listeners must be notified of the first view.
 */
class MembershipServiceTest {
  private static final Peer SELF =
      new Peer(
          new NodeId("vm0", 1), new FailureDomain("d0"), new InetSocketAddress("127.0.0.1", 1));

  /** A transport without any peer connection. */
  private static final class UnconnectedTransport implements PeerTransport {
    @Override
    public Peer self() {
      return SELF;
    }

    @Override
    public void registerHandler(Topic topic, PeerMessageHandler handler) {}

    @Override
    public void addListener(PeerListener listener) {}

    @Override
    public void connectTo(Collection<InetSocketAddress> addresses) {}

    @Override
    public boolean send(NodeId to, Topic topic, byte[] body) {
      return false;
    }

    @Override
    public Collection<Peer> peers() {
      return List.of();
    }

    @Override
    public void start() {}

    @Override
    public void stop() {}
  }

  @Test
  void singleRouterIsNotifiedOfItselfAsCandidate() throws Exception {
    CompletableFuture<MembershipView> firstView = new CompletableFuture<>();
    MembershipService service =
        new MembershipService(
            new UnconnectedTransport(), List::of, () -> 0, () -> 0, Clock.system());
    service.addListener(firstView::complete);
    service.start();
    try {
      assertEquals(List.of(SELF.node()), firstView.get().candidates(SELF.domain()));
    } finally {
      service.stop();
    }
  }
}
