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
 * Simulates the platform, which publishes configuration files and a VM list.
 *
 * <p>Routers read {@code GET /v1/config?after=REVISION&wait_ms=MILLIS}, a long poll that returns
 * the configuration, or 304 if no newer revision is published within the wait, and {@code GET
 * /v1/vms}. Tests and the demo publish and inject faults through {@code /control/}.
 */
public final class PlatformStandIn extends StandInServer {
  /** Behaviour of the stand-in on read requests. */
  public enum Mode {
    /** Serves every read. */
    UP,
    /** Drops every connection. */
    DOWN,
    /** Responds 503. */
    REFUSING,
    /** Responds with a body that isn't JSON. */
    GARBAGE,
    /** Responds later than any reader's timeout. */
    SLOW,
    /** Drops every connection that reads the configuration but serves the VM list. */
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
   * Creates a platform with no published files and an empty VM list.
   *
   * @param bindAddress listen address; port 0 selects a free port
   */
  public PlatformStandIn(InetSocketAddress bindAddress) {
    super(bindAddress);
  }

  /**
   * Publishes files as one new revision; all other files are unchanged.
   *
   * @param changed new or changed files
   * @return the new revision
   */
  public synchronized long publish(List<SettingsFile> changed) {
    changed.forEach(f -> files.put(f.name(), f.text()));
    revision++;
    notifyAll();
    return revision;
  }

  /**
   * Replaces the revision and all files, as a stale replica or one restored from a backup does.
   *
   * @param newRevision revision to serve; may be lower than the current one
   * @param all the complete set of files
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
   * @param document the VM list as a JSON document
   */
  public synchronized void publishVms(String document) {
    vmList = document;
  }

  /**
   * Sets the behaviour on read requests.
   *
   * @param mode the new mode
   */
  public void setMode(Mode mode) {
    this.mode = mode;
  }

  /**
   * Returns the number of read requests received, including long polls still waiting.
   *
   * @return count since the stand-in was created
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
          restore(longParameter(request, "revision", 0), parseFiles(readBody(request)));
      case "/control/mode" -> setMode(Mode.valueOf(parameter(request, "mode", "UP")));
      default -> {
        // Other control paths only read the counters below.
      }
    }
    Map<String, Long> counts = Map.of("reads", reads.get(), "config_reads", configReads.get());
    sendJson(response, callback, 200, mapper.writeValueAsString(counts));
  }

  private List<SettingsFile> parseFiles(String document) throws JsonProcessingException {
    List<SettingsFile> all = new ArrayList<>();
    mapper
        .readTree(document)
        .properties()
        .forEach(e -> all.add(new SettingsFile(e.getKey(), e.getValue().asText())));
    return all;
  }
}
