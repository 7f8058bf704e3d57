package org.wigeonwharf.relay;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/** A started relay with the given backend servers and a fake slot source. */
final class RelayFixture implements AutoCloseable {
  /** Short limits, for tests of a limit; these wait for events and never for a fixed time. */
  static final RelayLimits SHORT_LIMITS =
      new RelayLimits(8_192, 65_536, 200_000, 100, 4, 400, 400, 1_000, 500, 400, 300);

  /** Limits that are not reached even on a busy machine, for all other tests. */
  static final RelayLimits LONG_LIMITS =
      new RelayLimits(8_192, 65_536, 200_000, 100, 4, 9_000, 9_000, 9_000, 9_000, 9_000, 300);

  /** Like {@link #LONG_LIMITS}, but idle connections stay usable for a long time in a drain. */
  static final RelayLimits LONG_DRAIN_LIMITS =
      new RelayLimits(8_192, 65_536, 200_000, 100, 4, 9_000, 9_000, 9_000, 9_000, 9_000, 9_000);

  private static final long TIMEOUT_SECONDS = 10;
  private static final String CONFIG =
      """
      [tiers.urgent]
      rank = 0
      [classes.crew]
      tier = "urgent"
      [services.assistant]
      kind = "model"
      not_started_statuses = [503]
      resumable = true
      [services.booking]
      kind = "plain"
      [services.booking.paths.make]
      methods = ["POST"]
      prefix = "/bookings"
      repeatable = false
      [accounts.royal]
      token_sha256 = ["%s"]
      classes = ["crew"]
      default_class = "crew"
      """;

  final ConfigStore store = new ConfigStore();
  final FakeSlotSource slots = new FakeSlotSource(store);
  final MetricRegistry metrics = new MetricRegistry();
  final RelayService relay;

  /** A response as received by a caller; complete if its framing was. */
  record Response(String head, String body, boolean complete) {
    int status() {
      return Integer.parseInt(head.substring(9, 12));
    }

    String header(String name) {
      return head.lines()
          .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
          .map(l -> l.substring(name.length() + 1).trim())
          .findFirst()
          .orElse("");
    }

    String verdict() {
      return header(RelayHeaders.VERDICT);
    }
  }

  RelayFixture(InetSocketAddress... servers) throws Exception {
    this(SHORT_LIMITS, servers);
  }

  RelayFixture(RelayLimits limits, InetSocketAddress... servers) throws Exception {
    StringBuilder text = new StringBuilder(CONFIG.formatted(CallerAuthenticator.hash("crew")));
    for (String service : List.of("assistant", "booking")) {
      for (int i = 0; i < servers.length; i++) {
        text.append("[services.%s.servers.s%d]\n".formatted(service, i));
        text.append("address = \"%s\"\n".formatted(Addresses.format(servers[i])));
        text.append("domain = \"hobart-a\"\nslots = 4\n");
      }
    }
    if (store.offer(1, List.of(new SettingsFile("00.toml", text.toString())))
        != ConfigStore.OfferResult.ADOPTED) {
      throw new IllegalStateException(String.valueOf(store.rejection()));
    }
    InetSocketAddress bindAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    FailureDomain domain = new FailureDomain("hobart-a");
    NodeId self = new NodeId("vm1", 1);
    relay =
        new RelayService(
            self,
            domain,
            bindAddress,
            store,
            slots,
            Clock.system(),
            metrics,
            limits,
            new DisconnectedTransport(),
            new FleetSecret("a-secret-for-tests"));
    relay.start();
  }

  static String chatRequest(String extraHeaders) {
    return postRequest("/v1/chat/completions", "{\"stream\":true}", extraHeaders);
  }

  static String bookingRequest() {
    return postRequest("/v1/services/booking/bookings", "{\"slot\":\"9:00\"}", "");
  }

  static String postRequest(String path, String body, String extraHeaders) {
    String requestHead =
        "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer crew\r\n".formatted(path);
    return requestHead + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  Socket connect() throws IOException {
    Socket s = new Socket();
    s.connect(relay.address());
    s.setSoTimeout((int) TIMEOUT_SECONDS * 1_000);
    return s;
  }

  /** Sends a request on a new connection and reads the response to its end. */
  Response call(String request) throws IOException {
    try (Socket s = connect()) {
      s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new ResponseReader(s.getInputStream()).read();
    }
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_SECONDS * Clock.NANOS_PER_SECOND;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timeout while waiting for the condition");
      }
      Thread.sleep(5);
    }
  }

  @Override
  public void close() {
    relay.stop();
  }
}
