package org.wigeonwharf.gateway.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Holds the backend servers that this router knows.
 *
 * <p>While the store is unreachable, live servers cannot renew their entries, which may then
 * expire. Such entries stay in use for a grace period after the store is reachable again. A store
 * that is restored from an earlier copy names servers as they were; what is known of a later state
 * of the same run outweighs the copy until the server's entry is written again. Not thread-safe:
 * all calls are made on the owner's event loop.
 */
public final class ServerDirectory {
  /**
   * Time for which a server that has left is not used though a restored store lists it. The entry
   * of a server that has ended expires within this time.
   */
  private static final Duration RESTORED_ENTRY_GRACE = Duration.ofSeconds(10);

  /** Maximum number of servers that are remembered after they have left. */
  private static final int MAX_DEPARTED = 1_000;

  private static final Logger LOG = LoggerFactory.getLogger(ServerDirectory.class);

  private final long reconnectGraceNanos;
  private final List<Listener> listeners = new ArrayList<>();
  private final List<Runnable> changesMissedActions = new ArrayList<>();
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, List<BackendServer>> usable = new HashMap<>();
  private final Map<String, Departed> departed = new LinkedHashMap<>();
  private long storeReconnectedAt;
  private boolean storeReconnected;

  /** Receives the changes of the published servers. */
  public interface Listener {
    /**
     * Called when the entry of a server was added, changed or confirmed.
     *
     * @param server its published state
     */
    void onPublished(BackendServer server);

    /**
     * Called when a server was removed or replaced by another state or run.
     *
     * @param server its former published state
     */
    void onRemoved(BackendServer server);
  }

  /**
   * A server that has left.
   *
   * @param startedAt its start time in Unix milliseconds
   * @param outdatedAt position at which the store holds an outdated state of it, or null
   */
  private record Departed(long startedAt, @Nullable StorePosition outdatedAt) {}

  /** Holds one server with its local state beside the published one. */
  private static final class Entry {
    private BackendServer server;
    private boolean misdirected;
    private boolean unconfirmed;
    private long unconfirmedUntil;

    /** Position at which the store holds an outdated state of the server, if it does. */
    private @Nullable StorePosition outdatedAt;

    private boolean suspended;
    private long suspendedUntil;

    Entry(BackendServer server) {
      this.server = server;
    }

    boolean isUsable() {
      return !server.draining() && !misdirected && !suspended;
    }
  }

  /**
   * Creates an empty directory.
   *
   * @param reconnectGraceNanos how long an expired entry stays in use after the store is reachable
   *     again, in nanoseconds
   */
  public ServerDirectory(long reconnectGraceNanos) {
    this.reconnectGraceNanos = reconnectGraceNanos;
  }

  /**
   * Adds a listener. It is not called for servers that are known already.
   *
   * @param listener the listener
   */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /**
   * Adds an action that runs before all servers are replaced by a complete list. Some may have been
   * published and removed again since the last change that is known.
   *
   * @param action the action
   */
  public void onChangesMissed(Runnable action) {
    changesMissedActions.add(action);
  }

  /**
   * Records that the store is reachable again.
   *
   * @param now the current time in nanoseconds
   */
  public void recordStoreReconnected(long now) {
    storeReconnected = true;
    storeReconnectedAt = now;
  }

  /**
   * Adds or updates a published server.
   *
   * @param server its published state
   */
  public void put(BackendServer server) {
    Entry e = entries.get(server.id());
    Departed left = departed.get(server.id());
    StorePosition outdatedAt = e != null ? e.outdatedAt : left != null ? left.outdatedAt() : null;
    if (server.position().equals(outdatedAt)) {
      return;
    }
    departed.remove(server.id());
    if (e != null && server.differsFrom(e.server)) {
      BackendServer former = e.server;
      listeners.forEach(l -> l.onRemoved(former));
    }
    listeners.forEach(l -> l.onPublished(server));
    if (e == null || isRestart(e.server, server)) {
      e = new Entry(server);
      entries.put(server.id(), e);
      logChange("server.added", server, "published");
    } else if (server.differsFrom(e.server)) {
      logChange(server.draining() ? "server.draining" : "server.changed", server, "published");
      e.misdirected &= e.server.address().equals(server.address());
    }
    e.server = server;
    e.unconfirmed = false;
    e.outdatedAt = null;
    e.suspended = false;
    usable.clear();
  }

  private static boolean isRestart(BackendServer known, BackendServer published) {
    return known.startedAt() != published.startedAt();
  }

  /**
   * Handles the removal of a server's entry from the store. During the grace period the server
   * stays in use unless it is draining.
   *
   * @param id the server's id
   * @param now the current time in nanoseconds
   */
  public void withdraw(String id, long now) {
    Entry e = entries.get(id);
    if (e == null) {
      return;
    }
    if (storeReconnected
        && now - storeReconnectedAt < reconnectGraceNanos
        && !e.server.draining()
        && !e.suspended) {
      e.unconfirmed = true;
      e.unconfirmedUntil = storeReconnectedAt + reconnectGraceNanos;
      logChange("server.unconfirmed", e.server, "entry expired while the store was unreachable");
      return;
    }
    remove(e, "entry removed");
  }

  /**
   * Replaces all servers by the complete list of published ones.
   *
   * @param servers all servers in the store
   * @param now the current time in nanoseconds
   */
  public void replaceAll(Collection<BackendServer> servers, long now) {
    changesMissedActions.forEach(Runnable::run);
    Set<String> listed = new HashSet<>();
    for (BackendServer s : servers) {
      listed.add(s.id());
      put(s);
    }
    withdrawOthers(listed, now);
  }

  private void withdrawOthers(Set<String> listed, long now) {
    for (String id : List.copyOf(entries.keySet())) {
      if (!listed.contains(id)) {
        withdraw(id, now);
      }
    }
  }

  /**
   * Replaces all servers by those that a store lists which was restored from an earlier copy.
   *
   * <p>A server that was draining stays so, one that has left is not used for a grace period, and
   * an earlier run does not replace a later one, until the entry is written again. A server that is
   * missing stays in use for the grace period after {@link #recordStoreReconnected}.
   *
   * @param servers all servers in the store
   * @param now the current time in nanoseconds
   */
  public void restore(Collection<BackendServer> servers, long now) {
    changesMissedActions.forEach(Runnable::run);
    Set<String> listed = new HashSet<>();
    for (BackendServer s : servers) {
      if (restore(s, now)) {
        listed.add(s.id());
      }
    }
    withdrawOthers(listed, now);
    usable.clear();
  }

  /** Applies an entry of a restored store; returns false if it is one of an earlier run. */
  private boolean restore(BackendServer server, long now) {
    Entry e = entries.get(server.id());
    boolean suspended = e != null && e.suspended && !isRestart(e.server, server);
    Departed left = departed.get(server.id());
    if (suspended || e == null && left != null && server.startedAt() <= left.startedAt()) {
      suspend(server, now);
      return true;
    }
    if (e != null && server.startedAt() < e.server.startedAt()) {
      e.outdatedAt = server.position();
      return false;
    }
    if (e != null && !isRestart(e.server, server) && e.server.draining() && !server.draining()) {
      e.outdatedAt = server.position();
      return true;
    }
    put(server);
    return true;
  }

  private void suspend(BackendServer server, long now) {
    Entry e = new Entry(server);
    e.suspended = true;
    e.suspendedUntil = now + RESTORED_ENTRY_GRACE.toNanos();
    e.outdatedAt = server.position();
    entries.put(server.id(), e);
    listeners.forEach(l -> l.onPublished(server));
    logChange("server.suspended", server, "it has left, but the restored store lists it");
  }

  /**
   * Removes entries that were not published again within the grace period.
   *
   * @param now the current time in nanoseconds
   */
  public void expireUnconfirmed(long now) {
    for (Entry e : List.copyOf(entries.values())) {
      if (e.unconfirmed && now - e.unconfirmedUntil >= 0) {
        remove(e, "not published again within the grace period");
      }
    }
  }

  /**
   * Uses the servers that have left, but whose entries in a restored store have outlasted the grace
   * period.
   *
   * @param contactAt the time in nanoseconds at which the store last answered
   */
  public void trustRestored(long contactAt) {
    for (Entry e : entries.values()) {
      if (e.suspended && contactAt - e.suspendedUntil >= 0) {
        e.suspended = false;
        e.outdatedAt = null;
        usable.clear();
        logChange("server.added", e.server, "its entry has outlasted the grace period");
      }
    }
  }

  /** Tells whether any entry is in a grace period, as missing or as one of a restored store. */
  public boolean hasUnconfirmed() {
    return entries.values().stream().anyMatch(e -> e.unconfirmed || e.suspended);
  }

  private void remove(Entry e, String reason) {
    entries.remove(e.server.id());
    recordDeparted(e);
    usable.clear();
    listeners.forEach(l -> l.onRemoved(e.server));
    logChange("server.removed", e.server, reason);
  }

  private void recordDeparted(Entry e) {
    departed.remove(e.server.id());
    departed.put(e.server.id(), new Departed(e.server.startedAt(), e.outdatedAt));
    if (departed.size() > MAX_DEPARTED) {
      departed.remove(departed.keySet().iterator().next());
    }
  }

  /**
   * Excludes a server from use because another instance answers at its address.
   *
   * @param id the id of the server that was expected there
   */
  public void markMisdirected(String id) {
    Entry e = entries.get(id);
    if (e != null && !e.misdirected) {
      e.misdirected = true;
      usable.clear();
      logChange("server.misdirected", e.server, "another instance has its address");
    }
  }

  /**
   * Returns the servers of a service that may receive new requests.
   *
   * @param service the service's name
   * @return the servers in the order of their ids; empty if there are none
   */
  public List<BackendServer> usable(String service) {
    return usable.computeIfAbsent(service, this::collect);
  }

  private List<BackendServer> collect(String service) {
    List<BackendServer> found = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.isUsable() && e.server.service().equals(service)) {
        found.add(e.server);
      }
    }
    found.sort((a, b) -> a.id().compareTo(b.id()));
    return List.copyOf(found);
  }

  /**
   * Finds a server, whether usable or not.
   *
   * @param id the server's id
   * @return the server, or null if it is unknown
   */
  public @Nullable BackendServer find(String id) {
    Entry e = entries.get(id);
    return e == null ? null : e.server;
  }

  /** Returns all known servers, whether usable or not. */
  public List<BackendServer> all() {
    return entries.values().stream().map(e -> e.server).toList();
  }

  private static void logChange(String event, BackendServer server, String reason) {
    LOG.atInfo()
        .addKeyValue("event", event)
        .addKeyValue("server", server.id())
        .addKeyValue("service", server.service())
        .addKeyValue("failure_domain", server.domain().value())
        .addKeyValue("started_at", server.startedAt())
        .addKeyValue("software_version", server.softwareVersion())
        .addKeyValue("reason", reason)
        .log("backend server list changed");
  }
}
