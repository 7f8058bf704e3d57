package org.wigeonwharf.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Addresses;

/** In-memory implementation of the platform's store protocol for tests. */
final class StoreStandIn implements AutoCloseable {
  private static final int PAGE_ITEMS = 2;

  private final ObjectMapper json = new ObjectMapper();
  private final TreeMap<String, ObjectNode> items = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpServer server;
  private long revision = 10;
  private long oldestRevision = 10;
  private long era = 1;
  private long calls;
  private volatile int failureStatus;
  private @Nullable String otherEra;
  private @Nullable Runnable afterPage;

  StoreStandIn() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/kv-range", x -> answer(x, this::range));
    server.createContext("/kv-watch", x -> answer(x, this::watch));
    server.start();
  }

  /** A copy of the store's items at a revision. */
  record Copy(TreeMap<String, ObjectNode> items, long revision) {}

  private interface Endpoint {
    ObjectNode handle(Map<String, String> query) throws InterruptedException;
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  synchronized void put(String key, String value) {
    putBytes(key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized void putBytes(String key, byte[] value) {
    ObjectNode item = json.createObjectNode();
    item.put("key", key);
    item.put("value", Base64.getEncoder().encodeToString(value));
    item.put("revision", ++revision);
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  synchronized void delete(String key) {
    items.remove(key);
    ObjectNode event = json.createObjectNode();
    event.put("key", key).put("revision", ++revision).put("deleted", true);
    history.add(event);
    notifyAll();
  }

  /** Discards the history, so that waiting readers have to read all items again. */
  synchronized void dropHistory() {
    history.clear();
    oldestRevision = ++revision;
    notifyAll();
  }

  /** Returns a copy of the items, to be restored later. */
  synchronized Copy copy() {
    return new Copy(new TreeMap<>(items), revision);
  }

  /** Restores a copy: later changes are gone, and their revisions are given out again. */
  synchronized void restore(Copy copy) {
    items.clear();
    items.putAll(copy.items);
    history.clear();
    revision = copy.revision;
    oldestRevision = copy.revision;
    era++;
    notifyAll();
  }

  /** Returns the number of calls that were received. */
  synchronized long calls() {
    return calls;
  }

  /** Names a text as the era in all answers, or none if it is empty; null names the real one. */
  synchronized void nameOtherEra(@Nullable String text) {
    otherEra = text;
  }

  /** Runs an action after the next page of items has been read. */
  synchronized void afterNextPage(Runnable action) {
    afterPage = action;
  }

  /** Answers all calls with a status; 0 restores normal operation. */
  void failWith(int status) {
    failureStatus = status;
  }

  void putServer(String id, String service, InetSocketAddress address, String state) {
    putServer(id, service, address, state, "z1", 0);
  }

  void putServer(
      String id,
      String service,
      InetSocketAddress address,
      String state,
      String failureDomain,
      int coldMillis) {
    putServer(id, service, address, state, failureDomain, coldMillis, "v1");
  }

  void putServer(
      String id,
      String service,
      InetSocketAddress address,
      String state,
      String failureDomain,
      int coldMillis,
      String softwareVersion) {
    put(
        "servers/" + id,
        """
        {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":6,"state":"%s",
         "cold-left-ms":%d,"sequence":1,"born":1700000000000}
        """
            .formatted(
                service,
                Addresses.format(address),
                failureDomain,
                softwareVersion,
                state,
                coldMillis));
  }

  private void answer(HttpExchange x, Endpoint endpoint) throws IOException {
    try (x) {
      recordCall(x);
      if (failureStatus != 0) {
        x.sendResponseHeaders(failureStatus, -1);
        return;
      }
      ObjectNode body = endpoint.handle(query(x));
      nameEra(x);
      runAfterPage();
      if (body == null) {
        x.sendResponseHeaders(410, -1);
        return;
      }
      byte[] bytes = json.writeValueAsBytes(body);
      x.sendResponseHeaders(200, bytes.length);
      x.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void recordCall(HttpExchange x) {
    calls++;
    nameEra(x);
  }

  private synchronized void runAfterPage() {
    Runnable action = afterPage;
    afterPage = null;
    if (action != null) {
      action.run();
    }
  }

  private synchronized void nameEra(HttpExchange x) {
    String text = otherEra == null ? Long.toString(era) : otherEra;
    if (!text.isEmpty()) {
      x.getResponseHeaders().set(WireNames.STORE_ERA, text);
    }
  }

  private static Map<String, String> query(HttpExchange x) {
    Map<String, String> fields = new HashMap<>();
    String query = x.getRequestURI().getQuery();
    for (String f : query == null ? new String[0] : query.split("&")) {
      int eq = f.indexOf('=');
      fields.put(f.substring(0, eq), f.substring(eq + 1));
    }
    return fields;
  }

  private synchronized ObjectNode range(Map<String, String> query) {
    ObjectNode body = json.createObjectNode();
    ArrayNode page = body.putArray("items");
    String after = query.getOrDefault("after", "");
    for (ObjectNode item : items.tailMap(after, false).values()) {
      if (page.size() == PAGE_ITEMS) {
        body.put("has-more", true);
        break;
      }
      page.add(item);
    }
    return body.put("current-rev", revision);
  }

  private synchronized ObjectNode watch(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
    while (after >= oldestRevision && revision == after && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
    }
    if (after < oldestRevision || after > revision) {
      return null;
    }
    ObjectNode body = json.createObjectNode();
    ArrayNode events = body.putArray("events");
    String prefix = query.getOrDefault("prefix", "");
    history.stream()
        .filter(e -> e.path("revision").asLong() > after)
        .filter(e -> e.path("key").asText().startsWith(prefix))
        .forEach(events::add);
    return body.put("current-rev", revision);
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
