package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.route.ServiceShare;
import org.wigeonwharf.gateway.route.ServiceSpec;

/**
 * Guards against less urgent requests that overrun an engine's KV cache, and against those that
 * wait for it although another engine has room or for too long.
 */
class ServerSelectionTest {
  private static final long KV_CACHE_TOKENS = 1_000;
  private static final long OBJECTIVE_MILLIS = 200;

  private final ExchangeFixture fixture = new ExchangeFixture();

  ServerSelectionTest() {
    EngineSpec engine = new EngineSpec(6, KV_CACHE_TOKENS, 0);
    fixture.routes(
        new RouteTable(
            1,
            List.of(route(0), route(1)),
            List.of(new ServiceSpec(ExchangeFixture.SERVICE, 100, engine)),
            CallerLimits.DEFAULT,
            Map.of()));
  }

  private static Route route(int priority) {
    return new Route(
        "p" + priority,
        "host",
        "/p" + priority + "/",
        RequestKind.STREAM,
        ExchangeFixture.TIMEOUT_MILLIS,
        OBJECTIVE_MILLIS,
        0,
        priority,
        List.of(new ServiceShare(ExchangeFixture.SERVICE, 1)),
        1,
        true,
        AllowedRegions.ALL);
  }

  private void begin(int priority, int tokens) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(TestProtocol.ID, "1").set(TestProtocol.PROMPT, tokens);
    fixture.exchanges.begin(
        new CallerRequest(
            HttpMethod.POST,
            "/p" + priority + "/x",
            h,
            new byte[0],
            "host:80",
            fixture.timers.nanos()),
        new FakeCaller());
  }

  @Test
  void lessUrgentRequestWaitsBrieflyForMemoryAndGoesThen() {
    fixture.addServers(1);
    begin(0, 500);
    begin(1, 600);
    assertEquals(1, fixture.attempts.size());
    fixture.timers.advanceMillis(OBJECTIVE_MILLIS / 2);
    assertEquals(2, fixture.attempts.size());
  }

  @Test
  void mostUrgentRequestDoesNotWaitForMemory() {
    fixture.addServers(1);
    begin(0, 500);
    begin(0, 600);
    assertEquals(2, fixture.attempts.size());
  }

  @Test
  void lessUrgentRequestGoesToAnEngineWithMemory() {
    fixture.addServers(2);
    begin(0, 900);
    begin(1, 600);
    assertEquals(2, fixture.attempts.size());
    assertEquals(2, fixture.attempts.stream().map(a -> a.server.id()).distinct().count());
  }
}
