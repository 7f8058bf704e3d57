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

/** Starts the services of one router process in order and stops them gracefully. */
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
   * Creates a router that is not started.
   *
   * @param settings the process settings
   * @param platformLoops the event loops for calls to the platform; the router shuts them down
   * @param transport the connections to other routers
   * @param config reads the configuration and distributes it to peers
   * @param membership the membership of the fleet
   * @param schedule the scheduler roles and slot leases
   * @param relay forwards requests of callers to backend servers
   * @param operator the HTTP pages for operators
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

  /** Hands over the scheduler roles, waits for responses in flight and closes all services. */
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
