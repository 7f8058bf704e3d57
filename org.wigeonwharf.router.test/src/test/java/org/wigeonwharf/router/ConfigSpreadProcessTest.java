package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.standin.fleet.Fleet;

/** The configuration's promises, kept by separate processes while the platform fails. */
class ConfigSpreadProcessTest {
  private static final Path CONFIG = Path.of("..", "demo", "config");
  private static final String RAISE = "90-raise.toml";
  // The promise: in force on all reachable routers within this time.
  private static final long PROMISE_SECONDS = 5;
  private static final long SETTLE_SECONDS = 30;
  private static final long SILENT_MILLIS = 3_000;

  /** What the dump shows as age of a contact that never was. */
  private static final long NEVER_CONTACTED = -1;

  private static final long POLL_MILLIS = 20;
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final List<String> HOBART = List.of("h1", "h2", "h3", "h4");
  private static final List<String> LAUNCESTON = List.of("l1", "l2");

  private final List<String> all = new ArrayList<>();
  private long revision = 1;

  @Test
  void acceptedConfigurationIsInForceEverywhereAndNeverReverts() throws Exception {
    try (Fleet fleet = new Fleet(CONFIG)) {
      for (String name : HOBART) {
        fleet.addRouter(name, "hobart-a");
      }
      for (String name : LAUNCESTON) {
        fleet.addRouter(name, "launceston-a");
      }
      all.addAll(HOBART);
      all.addAll(LAUNCESTON);
      fleet.publishVms();
      fleet.awaitReady();
      await(fleet, SETTLE_SECONDS, "two readers a domain", f -> readers(f, all).size() == 4);

      limitRaisedJustBeforeThePlatformFailsIsInForceEverywhere(fleet);
      routerStartedDuringTheOutageGetsItFromPeers(fleet);
      platformThatFailsOrAnswersNonsenseChangesNothing(fleet);
      frozenReadersOfEveryFailureDomainAreReplaced(fleet);
      invalidPublishBetweenTwoGoodOnesIsRefusedWhole(fleet);
      staleReplicaIsIgnoredAndOtherContentUnderOneRevisionIsAlarmed(fleet);
    }
  }

  private void limitRaisedJustBeforeThePlatformFailsIsInForceEverywhere(Fleet fleet)
      throws Exception {
    final Collection<String> readers = readers(fleet, all);
    raise(fleet, 500);
    await(fleet, PROMISE_SECONDS, "one reader", f -> all.stream().anyMatch(n -> holds(f, n)));
    mode(fleet, "CONFIG_DOWN");
    awaitEverywhere(fleet, all);
    for (String name : all) {
      if (!readers.contains(name)) {
        assertNotEquals("platform", adoption(fleet, name).path("origin").asText());
      }
    }
  }

  private void routerStartedDuringTheOutageGetsItFromPeers(Fleet fleet) throws Exception {
    fleet.addRouter("h5", "hobart-a");
    fleet.publishVms();
    all.add("h5");
    fleet.awaitReady();
    assertTrue(holds(fleet, "h5"), "ready before it held what its peers hold");
    assertEquals(1, digests(fleet).size());
    mode(fleet, "UP");
  }

  private void platformThatFailsOrAnswersNonsenseChangesNothing(Fleet fleet) throws Exception {
    int limit = 600;
    for (String mode : List.of("REFUSING", "GARBAGE", "SLOW")) {
      await(fleet, SETTLE_SECONDS, "contact", f -> readers(f, all).size() == 4);
      mode(fleet, mode);
      await(fleet, SETTLE_SECONDS, "silence", f -> all.stream().allMatch(n -> silent(f, n)));
      for (String name : all) {
        assertTrue(holds(fleet, name), mode + " changed " + name);
        fleet.get(fleet.routers().get(name).operators(), "/readyz");
      }
      mode(fleet, "UP");
      raise(fleet, limit++);
      await(fleet, SETTLE_SECONDS, "a read", f -> all.stream().anyMatch(n -> holds(f, n)));
      awaitEverywhere(fleet, all);
    }
  }

  private static boolean silent(Fleet fleet, String name) {
    long age = config(fleet, name).path("platform_contact_age_ms").asLong();
    return age == NEVER_CONTACTED || age > SILENT_MILLIS;
  }

  private void frozenReadersOfEveryFailureDomainAreReplaced(Fleet fleet) throws Exception {
    await(fleet, SETTLE_SECONDS, "two readers a domain", f -> readers(f, all).size() == 4);
    Collection<String> frozen = readers(fleet, all);
    List<String> others = new ArrayList<>(all);
    others.removeAll(frozen);
    for (String name : frozen) {
      fleet.process(name).freeze();
    }
    raise(fleet, 501);
    awaitEverywhere(fleet, others);
    for (String name : frozen) {
      fleet.process(name).thaw();
    }
    awaitEverywhere(fleet, all);
  }

  private void invalidPublishBetweenTwoGoodOnesIsRefusedWhole(Fleet fleet) throws Exception {
    raise(fleet, 502);
    awaitEverywhere(fleet, all);
    fleet.publishFile(RAISE, "[accounts.theatre-royal.limits]\nconcurent = -3\n");
    long refused = revision + 1;
    await(
        fleet,
        PROMISE_SECONDS,
        "refusal in a dump",
        f -> all.stream().anyMatch(n -> config(f, n).path("refused_revision").asLong() == refused));
    for (String name : all) {
      assertTrue(holds(fleet, name), "the refused publish changed " + name);
    }
    revision++;
    raise(fleet, 503);
    awaitEverywhere(fleet, all);
  }

  private void staleReplicaIsIgnoredAndOtherContentUnderOneRevisionIsAlarmed(Fleet fleet)
      throws Exception {
    final String held = digests(fleet).get(0);
    String other = JSON.writeValueAsString(Map.of("10.toml", "[tiers.x]\nrank = 0\n"));
    fleet.post(fleet.platform(), "/control/restore?revision=1", other);
    fleet.post(fleet.platform(), "/control/restore?revision=" + revision, other);
    // Alone at first, it takes what the platform holds under the others' revision.
    fleet.addRouter("l3", "launceston-a");
    await(fleet, SETTLE_SECONDS, "fresh router", f -> holds(f, "l3"));
    fleet.publishVms();
    fleet.process("l3").awaitEvent("config.conflict");
    for (String name : all) {
      assertEquals(held, config(fleet, name).path("digest").asText());
    }
    assertNotEquals(held, config(fleet, "l3").path("digest").asText());
    all.add("l3");
    fleet.publishFile("10.toml", "[tiers.y]\nrank = 1\n");
    revision++;
    awaitEverywhere(fleet, all);
    assertEquals(1, digests(fleet).size());
    // The other content removed accounts and classes.
    fleet.process("h1").awaitEvent("limit.lowered");
  }

  private void raise(Fleet fleet, int limit) throws Exception {
    String text = "[accounts.theatre-royal.limits]\nrequests_per_second = %d\n";
    fleet.publishFile(RAISE, text.formatted(limit));
    revision++;
  }

  private static void mode(Fleet fleet, String mode) throws Exception {
    fleet.post(fleet.platform(), "/control/mode?mode=" + mode, "");
  }

  private void awaitEverywhere(Fleet fleet, Collection<String> names) throws Exception {
    String what = "revision " + revision + " on " + names;
    await(fleet, PROMISE_SECONDS, what, f -> names.stream().allMatch(n -> holds(f, n)));
  }

  private static void await(Fleet fleet, long seconds, String what, Predicate<Fleet> reached)
      throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!reached.test(fleet)) {
      assertTrue(System.nanoTime() < end, what + " not within " + seconds + " s");
      Thread.sleep(POLL_MILLIS);
    }
  }

  private boolean holds(Fleet fleet, String name) {
    return config(fleet, name).path("revision").asLong() == revision;
  }

  private static Collection<String> readers(Fleet fleet, Collection<String> names) {
    return names.stream().filter(n -> config(fleet, n).path("reader").asBoolean()).toList();
  }

  private List<String> digests(Fleet fleet) {
    return all.stream().map(n -> config(fleet, n).path("digest").asText()).distinct().toList();
  }

  private JsonNode adoption(Fleet fleet, String name) throws Exception {
    return fleet
        .process(name)
        .awaitLine(
            n ->
                n.path("event").asText().equals("config.adopted")
                    && n.path("revision").asLong() == revision,
            "adoption");
  }

  private static JsonNode config(Fleet fleet, String name) {
    try {
      String dump = fleet.get(fleet.routers().get(name).operators(), "/dump");
      return JSON.readTree(dump).path("config");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
