package org.wigeonwharf.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonwharf.config.SettingsFile;

/**
 * A PlatformStandIn publishes a configuration folder and a VM list as the platform does.
 *
 * <p>Routers use {@code GET /v1/config?after=REVISION&wait_ms=MILLIS} (a publish, or 304 if there
 * is none newer in time) and {@code GET /v1/vms}. Tests and the demo act as operators through
 * {@code /control/}.
 */
public final class PlatformStandIn extends StandInServer {
  /** How the stand-in treats reads. */
  public enum Mode {
    /** It answers. */
    UP,
    /** It drops every connection. */
    DOWN,
    /** It answers 503. */
    REFUSING,
    /** It answers bytes that are no JSON. */
    GARBAGE,
    /** It answers later than any reader waits. */
    SLOW,
    /** It drops every connection that reads the configuration, and answers the VM list. */
    CONFIG_DOWN
  }

  private static final String FILES_PREFIX = "/control/files/";
  private static final String CONFIG_PATH = "/v1/config";
  private static final long SLOW_REPLY_MILLIS = 10_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, String> files = new TreeMap<>();
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong configReads = new AtomicLong();
  private String vmList = "{\"vms\":[]}";
  private long revision;
  private volatile Mode mode = Mode.UP;

  /**
   * Creates a platform that has published nothing.
   *
   * @param bindAddress where to listen; port 0 lets the system choose
   */
  public PlatformStandIn(InetSocketAddress bindAddress) {
    super(bindAddress);
  }

  /**
   * Publishes files in one revision; files not named stay as they are.
   *
   * @param changed the new or changed files
   * @return the new revision
   */
  public synchronized long publish(List<SettingsFile> changed) {
    changed.forEach(f -> files.put(f.name(), f.text()));
    revision++;
    notifyAll();
    return revision;
  }

  /**
   * Sets revision and files at once, as a stale or restored replica would.
   *
   * @param newRevision the revision
   * @param all every file
   */
  public synchronized void restore(long newRevision, List<SettingsFile> all) {
    files.clear();
    all.forEach(f -> files.put(f.name(), f.text()));
    revision = newRevision;
    notifyAll();
  }

  /**
   * Publishes the VM list.
   *
   * @param document the JSON document
   */
  public synchronized void publishVms(String document) {
    vmList = document;
  }

  /**
   * Changes how reads are treated.
   *
   * @param mode the new mode
   */
  public void setMode(Mode mode) {
    this.mode = mode;
  }

  /**
   * Returns how many reads came, waiting watches included.
   *
   * @return a count since the start
   */
  public long reads() {
    return reads.get();
  }

  @Override
  void serve(Request request, Response response, Callback callback) throws Exception {
    String path = path(request);
    if (path.startsWith("/control/")) {
      handleControl(request, response, callback, path);
      return;
    }
    reads.incrementAndGet();
    if (path.equals(CONFIG_PATH)) {
      configReads.incrementAndGet();
    }
    switch (mode) {
      case DOWN -> dropConnection(request, callback);
      case SLOW -> {
        Thread.sleep(SLOW_REPLY_MILLIS);
        handleRead(request, response, callback, path);
      }
      case CONFIG_DOWN -> {
        if (path.equals(CONFIG_PATH)) {
          dropConnection(request, callback);
        } else {
          handleRead(request, response, callback, path);
        }
      }
      case REFUSING -> sendJson(response, callback, 503, "{}");
      case GARBAGE -> sendJson(response, callback, 200, "<html>not here</html>");
      default -> handleRead(request, response, callback, path);
    }
  }

  private void handleRead(Request request, Response response, Callback callback, String path)
      throws Exception {
    switch (path) {
      case CONFIG_PATH -> handleWatch(request, response, callback);
      case "/v1/vms" -> sendJson(response, callback, 200, currentVmList());
      default -> sendJson(response, callback, 404, "{}");
    }
  }

  private synchronized String currentVmList() {
    return vmList;
  }

  private void handleWatch(Request request, Response response, Callback callback) throws Exception {
    String document =
        awaitNewerThan(longParameter(request, "after", 0), longParameter(request, "wait_ms", 0));
    if (document.isEmpty()) {
      response.setStatus(304);
      response.write(true, null, callback);
      return;
    }
    sendJson(response, callback, 200, document);
  }

  private synchronized String awaitNewerThan(long afterRevision, long waitMillis)
      throws InterruptedException, JsonProcessingException {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (revision <= afterRevision) {
      long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (remainingMillis <= 0) {
        return "";
      }
      wait(remainingMillis);
    }
    return currentDocument();
  }

  private String currentDocument() throws JsonProcessingException {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("revision", revision);
    body.put(
        "files",
        files.entrySet().stream()
            .map(e -> Map.of("name", e.getKey(), "content", e.getValue()))
            .toList());
    return mapper.writeValueAsString(body);
  }

  private void handleControl(Request request, Response response, Callback callback, String path)
      throws Exception {
    if (path.startsWith(FILES_PREFIX)) {
      String name = path.substring(FILES_PREFIX.length());
      long newRevision = publish(List.of(new SettingsFile(name, readBody(request))));
      sendJson(response, callback, 200, "{\"revision\":" + newRevision + "}");
      return;
    }
    switch (path) {
      case "/control/vms" -> publishVms(readBody(request));
      case "/control/restore" ->
          restore(longParameter(request, "revision", 0), files(readBody(request)));
      case "/control/mode" -> setMode(Mode.valueOf(parameter(request, "mode", "UP")));
      default -> {
        // Fall through to the counters.
      }
    }
    Map<String, Long> counts = Map.of("reads", reads.get(), "config_reads", configReads.get());
    sendJson(response, callback, 200, mapper.writeValueAsString(counts));
  }

  private List<SettingsFile> files(String document) throws JsonProcessingException {
    List<SettingsFile> all = new ArrayList<>();
    mapper
        .readTree(document)
        .properties()
        .forEach(e -> all.add(new SettingsFile(e.getKey(), e.getValue().asText())));
    return all;
  }
}
