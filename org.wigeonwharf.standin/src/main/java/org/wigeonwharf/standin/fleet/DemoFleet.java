package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.Addresses;

/** Runs the demo's platform stand-in, engines, booking service and routers as processes. */
public final class DemoFleet implements AutoCloseable {
  /** Failure domain of vm1, vm2, a1, a2 and b1. */
  public static final String HOBART = "hobart-a";

  /** Failure domain of vm3 and a3. */
  public static final String LAUNCESTON = "launceston-a";

  private static final int SLOTS = 4;
  private static final long TOKEN_MILLIS = 20;

  private final Fleet fleet;
  private final Map<String, InetSocketAddress> serverAddresses = new LinkedHashMap<>();

  /**
   * Starts all processes and waits until the routers are ready.
   *
   * @param config folder of the operators' settings files
   * @throws IOException if a process can't be started or the routers don't become ready
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public DemoFleet(Path config) throws IOException, InterruptedException {
    fleet = new Fleet(config);
    serverAddresses.put("a1", fleet.addEngine("assistant", "a1", HOBART, SLOTS, TOKEN_MILLIS));
    serverAddresses.put("a2", fleet.addEngine("assistant", "a2", HOBART, SLOTS, TOKEN_MILLIS));
    serverAddresses.put("a3", fleet.addEngine("assistant", "a3", LAUNCESTON, SLOTS, TOKEN_MILLIS));
    serverAddresses.put("b1", fleet.addBooking("booking", "b1", HOBART));
    fleet.addRouter("vm1", HOBART);
    fleet.addRouter("vm2", HOBART);
    fleet.addRouter("vm3", LAUNCESTON);
    fleet.publish();
    fleet.awaitReady();
  }

  /**
   * Writes the name, process id and addresses of every process.
   *
   * @param file the JSON file to write; its folder is created if missing
   * @throws IOException if the file can't be written
   */
  public void writeAddresses(Path file) throws IOException {
    Map<String, Object> fieldsByName = new LinkedHashMap<>();
    fleet.processes().forEach((name, p) -> fieldsByName.put(name, describe(name, p)));
    Files.createDirectories(file.toAbsolutePath().getParent());
    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(file.toFile(), fieldsByName);
  }

  private Map<String, Object> describe(String name, FleetProcess process) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("pid", process.pid());
    Fleet.RouterAddresses r = fleet.routers().get(name);
    if (r != null) {
      fields.put("callers", Addresses.format(r.callers()));
      fields.put("peers", Addresses.format(r.peers()));
      fields.put("operators", Addresses.format(r.operators()));
      return fields;
    }
    InetSocketAddress a = serverAddresses.getOrDefault(name, fleet.platform());
    fields.put("address", Addresses.format(a));
    return fields;
  }

  /**
   * Returns the fleet that runs the processes.
   *
   * @return the fleet
   */
  public Fleet fleet() {
    return fleet;
  }

  /**
   * Returns the address at which a router accepts callers.
   *
   * @param router the router's name
   * @return its address for callers
   * @throws IllegalArgumentException if there is no such router
   */
  public InetSocketAddress callerAddress(String router) {
    Fleet.RouterAddresses r = fleet.routers().get(router);
    if (r == null) {
      throw new IllegalArgumentException("no router is named " + router);
    }
    return r.callers();
  }

  /**
   * Returns a backend server's address.
   *
   * @param server the server's name
   * @return its address
   * @throws IllegalArgumentException if there is no such backend server
   */
  public InetSocketAddress serverAddress(String server) {
    InetSocketAddress a = serverAddresses.get(server);
    if (a == null) {
      throw new IllegalArgumentException("no backend server is named " + server);
    }
    return a;
  }

  @Override
  public void close() {
    fleet.close();
  }
}
