package org.wigeonwharf.router.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.schedule.ScheduleService;

/** Collects the state of a router's services as plain maps, without tokens, bodies or keys. */
public final class StateDump {
  private final NodeId self;
  private final FailureDomain domain;
  private final ConfigStore store;
  private final ConfigService config;
  private final MembershipService membership;
  private final ScheduleService schedule;
  private final RelayService relay;

  /**
   * Creates a dump of a router's services.
   *
   * @param self the name and incarnation of this process
   * @param domain the failure domain of this process
   * @param store the current configuration
   * @param config reads the configuration and distributes it to peers
   * @param membership the membership of the fleet
   * @param schedule the scheduler roles and slot leases
   * @param relay forwards requests of callers to backend servers
   */
  public StateDump(
      NodeId self,
      FailureDomain domain,
      ConfigStore store,
      ConfigService config,
      MembershipService membership,
      ScheduleService schedule,
      RelayService relay) {
    this.self = self;
    this.domain = domain;
    this.store = store;
    this.config = config;
    this.membership = membership;
    this.schedule = schedule;
    this.relay = relay;
  }

  /**
   * Collects the current state.
   *
   * @return maps, lists, strings and numbers, keyed by service
   * @throws Exception if a service does not return its state in time
   */
  public Map<String, Object> collect() throws Exception {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("node", self.toString());
    dump.put("failure_domain", domain.value());
    dump.put("config", configState());
    dump.put("membership", memberRows());
    dump.put("schedule", schedule.dump());
    dump.put("relay", Map.of("in_flight", relay.inFlight()));
    return dump;
  }

  private Map<String, Object> configState() {
    Snapshot s = store.current();
    Map<String, Object> state = new LinkedHashMap<>();
    state.put("revision", s.revision());
    state.put("digest", s.digest());
    state.put("reader", config.isReading());
    state.put("settled", config.isSettled());
    state.put("platform_contact_age_ms", config.platformContactAgeMillis());
    state.put("conflicts", store.conflicts());
    ConfigStore.Rejection r = store.rejection();
    state.put("refused_revision", r == null ? 0 : r.revision());
    state.put("faults", r == null ? List.of() : r.faults().stream().map(Fault::toString).toList());
    return state;
  }

  private List<Map<String, Object>> memberRows() {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (Member m : membership.view().members()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("node", m.peer().node().toString());
      row.put("failure_domain", m.peer().domain().value());
      row.put("leaving", m.leaving());
      row.put("config_revision", m.configRevision());
      rows.add(row);
    }
    return rows;
  }
}
