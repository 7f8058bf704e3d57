package org.wigeonwharf.router;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.router.internal.OperatorService;
import org.wigeonwharf.schedule.ScheduleService;

/** A Router is one process of the fleet: it starts its parts in order and stops them gracefully. */
public final class Router implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Router.class);

  private final RouterSettings settings;
  private final EventLoopGroup platformLoops;
  private final PeerTransport transport;
  private final ConfigService config;
  private final MembershipService membership;
  private final ScheduleService schedule;
  private final RelayService relay;
  private final OperatorService operator;
  private final AtomicBoolean stopping = new AtomicBoolean();

  /**
   * Creates a router; nothing is started.
   *
   * @param settings the process settings
   * @param platformLoops runs the calls to the platform; owned by the router
   * @param transport connections to peers
   * @param config reads and spreads the configuration
   * @param membership the view of the fleet
   * @param schedule scheduler roles and slot leases
   * @param relay callers and backend servers
   * @param operator state for operators
   */
  public Router(
      RouterSettings settings,
      EventLoopGroup platformLoops,
      PeerTransport transport,
      ConfigService config,
      MembershipService membership,
      ScheduleService schedule,
      RelayService relay,
      OperatorService operator) {
    this.settings = settings;
    this.platformLoops = platformLoops;
    this.transport = transport;
    this.config = config;
    this.membership = membership;
    this.schedule = schedule;
    this.relay = relay;
    this.operator = operator;
  }

  @Override
  public void start() throws Exception {
    transport.start();
    schedule.start();
    membership.start();
    config.start();
    relay.start();
    operator.start(() -> !stopping.get() && config.isSettled());
    LOG.atInfo()
        .addKeyValue("event", "router.started")
        .addKeyValue("name", settings.name())
        .addKeyValue("failure_domain", settings.domain().value())
        .addKeyValue("callers", Addresses.format(relay.address()))
        .addKeyValue("peers", Addresses.format(transport.self().address()))
        .addKeyValue("operators", Addresses.format(operator.address()))
        .log("router started");
  }

  /** Stops gracefully: hands roles over, lets every answer in flight end, then releases all. */
  @Override
  public void stop() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    LOG.atInfo().addKeyValue("event", "router.stopping").log("router stopping");
    membership.leave();
    try {
      relay.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    relay.stop();
    config.stop();
    schedule.stop();
    membership.stop();
    operator.stop();
    transport.stop();
    platformLoops.shutdownGracefully();
    LOG.atInfo().addKeyValue("event", "router.stopped").log("router stopped");
  }
}
