package org.wigeonwharf.standin.restart;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Returns the routers' addresses in turn, like a load balancer in front of the entry VMs. */
final class RoundRobinBalancer {
  private final AtomicInteger nextIndex = new AtomicInteger();
  private volatile List<InetSocketAddress> routers = List.of();

  void setRouters(List<InetSocketAddress> addresses) {
    routers = List.copyOf(addresses);
  }

  InetSocketAddress next() {
    List<InetSocketAddress> current = routers;
    return current.get(Math.floorMod(nextIndex.getAndIncrement(), current.size()));
  }
}
