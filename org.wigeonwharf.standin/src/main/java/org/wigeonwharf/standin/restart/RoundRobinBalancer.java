package org.wigeonwharf.standin.restart;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A RouterChoice stands for the balancer: it hands out the routers' addresses in turn. */
final class RoundRobinBalancer {
  private final AtomicInteger next = new AtomicInteger();
  private volatile List<InetSocketAddress> routers = List.of();

  void setRouters(List<InetSocketAddress> addresses) {
    routers = List.copyOf(addresses);
  }

  InetSocketAddress next() {
    List<InetSocketAddress> current = routers;
    return current.get(Math.floorMod(next.getAndIncrement(), current.size()));
  }
}
