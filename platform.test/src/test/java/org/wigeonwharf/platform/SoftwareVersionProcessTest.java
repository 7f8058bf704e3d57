package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Resumes streams at router processes, of which one is out of step, while servers of two software
 * versions serve.
 */
class SoftwareVersionProcessTest {
  private static final int ROUTERS = 3;
  private static final int STREAMS = 12;
  private static final int TIMEOUT_MILLIS = 4_000;
  private static final int REMAINING_MILLIS = 3_000;

  /** Time in ms after which a router's history reaches back to the begin of any stream. */
  private static final long HISTORY_MILLIS = 5_500;

  /** Time in ms that a router needs to read a change of the store. */
  private static final long CHANGE_READ_MILLIS = 600;

  /** Time in ms for which a router stands still before a release. */
  private static final long STOPPED_MILLIS = 8_000;

  private static final int UNAVAILABLE = 503;

  @TempDir private Path folder;
  private final List<RestartableRouter> routers = new ArrayList<>();
  private final Map<String, ScriptedServer> servers = new HashMap<>();
  private StoreStandIn store;
  private int requests;

  @BeforeEach
  void start() throws Exception {
    store = new StoreStandIn();
    store.put("op/config", ConfigurationText.ofAllKinds(1, TIMEOUT_MILLIS));
    addServer("old-1", "v1");
    addServer("old-2", "v1");
    for (int i = 0; i < ROUTERS; i++) {
      RestartableRouter r =
          new RestartableRouter(
              folder,
              i,
              "z" + i,
              routers.isEmpty() ? null : routers.get(0).peers(),
              store.address(),
              0.4);
      routers.add(r);
      r.start();
    }
    Thread.sleep(HISTORY_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    routers.forEach(RestartableRouter::close);
    for (ScriptedServer s : servers.values()) {
      s.close();
    }
    store.close();
  }

  private void addServer(String id, String version) throws IOException {
    servers.put(id, new ScriptedServer(SoftwareVersionProcessTest::stream));
    publish(id, version, "ready");
  }

  private void publish(String id, String version, String state) {
    store.putServer(id, "s1", servers.get(id).address(), state, "z1", 0, version);
  }

  /** Sends the next event and, if the caller resumes the stream, its end. */
  private static void stream(ScriptedServer.Request r, ScriptedServer.Connection c)
      throws IOException, InterruptedException {
    String last = r.header(WireNames.LAST_EVENT_ID);
    c.write(AnswerText.streamHead(r.id()));
    c.write(AnswerText.event(last == null ? 1 : Integer.parseInt(last) + 1));
    if (last != null) {
      c.write(AnswerText.STREAM_END);
    } else {
      Thread.sleep(TIMEOUT_MILLIS);
    }
  }

  /** Publishes another version, whose servers alone receive new streams. */
  private void release() throws Exception {
    // The first change ends the pending wait of each router; the others need another call.
    store.putServer("other", "s2", servers.get("old-1").address(), "ready");
    Thread.sleep(20);
    addServer("new-1", "v2");
    addServer("new-2", "v2");
    publish("old-1", "v1", "draining");
    publish("old-2", "v1", "draining");
    Thread.sleep(CHANGE_READ_MILLIS);
  }

  /** Begins a stream and breaks it off after its first event; returns the request's id. */
  private String beginAndBreakOff(RestartableRouter router) throws IOException {
    String id = "q" + ++requests;
    try (KeptConnection c = new KeptConnection(router.callers())) {
      c.send(RequestText.of("/s/x", id, TIMEOUT_MILLIS));
      c.readUntil("id: 1");
    }
    return id;
  }

  private KeptConnection resume(RestartableRouter router, String id) throws IOException {
    KeptConnection c = new KeptConnection(router.callers());
    c.send(
        RequestText.of(
            "/s/x",
            "q" + ++requests,
            REMAINING_MILLIS,
            WireNames.LAST_EVENT_ID + ": 1",
            WireNames.RESUMED_REQUEST_ID + ": " + id));
    return c;
  }

  private long resumedAt(String... ids) {
    long n = 0;
    for (String id : ids) {
      n +=
          servers.get(id).received.stream()
              .filter(r -> r.header(WireNames.LAST_EVENT_ID) != null)
              .count();
    }
    return n;
  }

  // Guards against a router that continues and answers callers before it reads what it missed.
  @Test
  void streamOfVersionPublishedWhileRouterStoodStillIsNotContinuedAtAnother() throws Exception {
    RestartableRouter stopped = routers.get(0);
    stopped.process().freeze();
    // The messages of its peers that it finds first are older than the release.
    Thread.sleep(STOPPED_MILLIS);
    release();
    List<KeptConnection> resumptions = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = beginAndBreakOff(routers.get(1 + i % 2));
      resumptions.add(resume(stopped, id));
    }
    stopped.process().thaw();
    for (KeptConnection c : resumptions) {
      try (c) {
        KeptConnection.Response r = c.read();
        assertTrue(r.status() == 200 || r.status() == UNAVAILABLE, "status " + r.status());
      }
    }
    assertEquals(0, resumedAt("old-1", "old-2"));
  }

  // Guards against a router that takes the time since it last heard of the store for contact.
  @Test
  void streamOfVersionPublishedWhileRouterWasCutOffIsNotContinuedAtAnother() throws Exception {
    try (StoreStandIn behindCut = new StoreStandIn()) {
      behindCut.put("op/config", ConfigurationText.ofAllKinds(1, TIMEOUT_MILLIS));
      for (String id : List.of("old-1", "old-2")) {
        behindCut.putServer(id, "s1", servers.get(id).address(), "ready");
      }
      try (RestartableRouter cutOff =
          new RestartableRouter(folder, ROUTERS, "z3", null, behindCut.address(), 0.4)) {
        cutOff.start();
        Thread.sleep(HISTORY_MILLIS);
        behindCut.failWith(UNAVAILABLE);
        release();
        for (int i = 0; i < STREAMS; i++) {
          String id = beginAndBreakOff(routers.get(i % ROUTERS));
          try (KeptConnection c = resume(cutOff, id)) {
            assertEquals(UNAVAILABLE, c.read().status());
          }
        }
      }
    }
    assertEquals(0, resumedAt("old-1", "old-2"));
  }

  @Test
  void streamsOfKilledRouterGoOnElsewhereThoughAnotherVersionShowsUp() throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      ids.add(beginAndBreakOff(routers.get(0)));
    }
    Thread.sleep(CHANGE_READ_MILLIS);
    routers.get(0).process().kill();
    addServer("new-1", "v2");
    Thread.sleep(CHANGE_READ_MILLIS);
    int whole = 0;
    for (int i = 0; i < STREAMS; i++) {
      try (KeptConnection c = resume(routers.get(1 + i % 2), ids.get(i))) {
        whole += c.read().status() == 200 ? 1 : 0;
      }
    }
    assertEquals(STREAMS, whole);
    assertEquals(0, resumedAt("new-1"));
  }

  // Guards against a restart that costs all streams though there has only been one version.
  @Test
  void streamsGoOnAfterRestartOfAllRoutersWhereThereIsOneVersion() throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      ids.add(beginAndBreakOff(routers.get(i % ROUTERS)));
    }
    routers.forEach(r -> r.process().kill());
    for (RestartableRouter r : routers) {
      r.kill();
    }
    int whole = 0;
    for (int i = 0; i < STREAMS; i++) {
      try (KeptConnection c = resume(routers.get(i % ROUTERS), ids.get(i))) {
        whole += c.read().status() == 200 ? 1 : 0;
      }
    }
    assertEquals(STREAMS, whole);
  }

  // Guards against servers that left while no router ran.
  @Test
  void streamsAreNotContinuedAtVersionThatRanBesideTheirsBeforeRestartOfAllRouters()
      throws Exception {
    release();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      ids.add(beginAndBreakOff(routers.get(i % ROUTERS)));
    }
    routers.forEach(r -> r.process().kill());
    store.delete("servers/new-1");
    store.delete("servers/new-2");
    publish("old-1", "v1", "ready");
    publish("old-2", "v1", "ready");
    for (RestartableRouter r : routers) {
      r.kill();
    }
    for (int i = 0; i < STREAMS; i++) {
      try (KeptConnection c = resume(routers.get(i % ROUTERS), ids.get(i))) {
        assertEquals(UNAVAILABLE, c.read().status());
      }
    }
    assertEquals(0, resumedAt("old-1", "old-2"));
  }
}
