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

/**
 * Checks with separate router processes that an accepted configuration reaches every reachable
 * router in time and never reverts, while the platform is down, refuses calls, returns garbage or
 * stale revisions, and while the routers that read it are frozen.
 */
class ConfigPropagationProcessTest {
  private static final Path CONFIG = Path.of("..", "demo", "config");
  private static final String LIMIT_FILE = "90-raise.toml";
  // Documented limit until a configuration is in force on all reachable routers.
  private static final long PROPAGATION_SECONDS = 5;
  private static final long SETTLE_SECONDS = 30;
  private static final long CONTACT_LOST_MILLIS = 3_000;

  /** Contact age in the dump of a router that has never reached the platform. */
  private static final long NEVER_CONTACTED = -1;

  private static final long POLL_MILLIS = 20;
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final List<String> HOBART = List.of("h1", "h2", "h3", "h4");
  private static final List<String> LAUNCESTON = List.of("l1", "l2");

  private final List<String> routers = new ArrayList<>();
  private long revision = 1;

  @Test
  void acceptedConfigurationReachesEveryRouterAndNeverReverts() throws Exception {
    try (Fleet fleet = new Fleet(CONFIG)) {
      for (String name : HOBART) {
        fleet.addRouter(name, "hobart-a");
      }
      for (String name : LAUNCESTON) {
        fleet.addRouter(name, "launceston-a");
      }
      routers.addAll(HOBART);
      routers.addAll(LAUNCESTON);
      fleet.publishVms();
      fleet.awaitReady();
      await(
          fleet,
          SETTLE_SECONDS,
          "two readers per domain",
          f -> findReaders(f, routers).size() == 4);

      limitPublishedJustBeforeOutageReachesEveryRouter(fleet);
      routerStartedDuringOutageGetsConfigurationFromPeers(fleet);
      failingPlatformChangesNoConfiguration(fleet);
      frozenReadersAreReplacedInEveryFailureDomain(fleet);
      invalidRevisionIsRefusedWhole(fleet);
      staleRevisionIsIgnoredAndConflictingContentIsReported(fleet);
    }
  }

  private void limitPublishedJustBeforeOutageReachesEveryRouter(Fleet fleet) throws Exception {
    final Collection<String> readers = findReaders(fleet, routers);
    publishLimit(fleet, 500);
    await(
        fleet,
        PROPAGATION_SECONDS,
        "revision on any router",
        f -> routers.stream().anyMatch(n -> hasRevision(f, n)));
    setPlatformMode(fleet, "CONFIG_DOWN");
    awaitRevision(fleet, routers);
    for (String name : routers) {
      if (!readers.contains(name)) {
        assertNotEquals("platform", awaitAdoption(fleet, name).path("origin").asText());
      }
    }
  }

  private void routerStartedDuringOutageGetsConfigurationFromPeers(Fleet fleet) throws Exception {
    fleet.addRouter("h5", "hobart-a");
    fleet.publishVms();
    routers.add("h5");
    fleet.awaitReady();
    assertTrue(hasRevision(fleet, "h5"), "ready before it adopted its peers' configuration");
    assertEquals(1, distinctDigests(fleet).size());
    setPlatformMode(fleet, "UP");
  }

  private void failingPlatformChangesNoConfiguration(Fleet fleet) throws Exception {
    int limit = 600;
    for (String mode : List.of("REFUSING", "GARBAGE", "SLOW")) {
      await(
          fleet,
          SETTLE_SECONDS,
          "contact with the platform",
          f -> findReaders(f, routers).size() == 4);
      setPlatformMode(fleet, mode);
      await(
          fleet,
          SETTLE_SECONDS,
          "loss of contact",
          f -> routers.stream().allMatch(n -> hasLostContact(f, n)));
      for (String name : routers) {
        assertTrue(hasRevision(fleet, name), mode + " changed " + name);
        fleet.get(fleet.routers().get(name).operators(), "/readyz");
      }
      setPlatformMode(fleet, "UP");
      publishLimit(fleet, limit++);
      await(
          fleet,
          SETTLE_SECONDS,
          "revision on any router",
          f -> routers.stream().anyMatch(n -> hasRevision(f, n)));
      awaitRevision(fleet, routers);
    }
  }

  private static boolean hasLostContact(Fleet fleet, String name) {
    long age = configState(fleet, name).path("platform_contact_age_ms").asLong();
    return age == NEVER_CONTACTED || age > CONTACT_LOST_MILLIS;
  }

  private void frozenReadersAreReplacedInEveryFailureDomain(Fleet fleet) throws Exception {
    await(
        fleet, SETTLE_SECONDS, "two readers per domain", f -> findReaders(f, routers).size() == 4);
    Collection<String> frozen = findReaders(fleet, routers);
    List<String> others = new ArrayList<>(routers);
    others.removeAll(frozen);
    for (String name : frozen) {
      fleet.process(name).freeze();
    }
    publishLimit(fleet, 501);
    awaitRevision(fleet, others);
    for (String name : frozen) {
      fleet.process(name).thaw();
    }
    awaitRevision(fleet, routers);
  }

  private void invalidRevisionIsRefusedWhole(Fleet fleet) throws Exception {
    publishLimit(fleet, 502);
    awaitRevision(fleet, routers);
    fleet.publishFile(LIMIT_FILE, "[accounts.theatre-royal.limits]\nconcurent = -3\n");
    long refusedRevision = revision + 1;
    await(
        fleet,
        PROPAGATION_SECONDS,
        "refused revision in a dump",
        f ->
            routers.stream()
                .anyMatch(
                    n -> configState(f, n).path("refused_revision").asLong() == refusedRevision));
    for (String name : routers) {
      assertTrue(hasRevision(fleet, name), "the refused revision changed " + name);
    }
    revision++;
    publishLimit(fleet, 503);
    awaitRevision(fleet, routers);
  }

  private void staleRevisionIsIgnoredAndConflictingContentIsReported(Fleet fleet) throws Exception {
    final String adoptedDigest = distinctDigests(fleet).get(0);
    String otherFiles = JSON.writeValueAsString(Map.of("10.toml", "[tiers.x]\nrank = 0\n"));
    fleet.post(fleet.platform(), "/control/restore?revision=1", otherFiles);
    fleet.post(fleet.platform(), "/control/restore?revision=" + revision, otherFiles);
    // Not yet in the VM list, the router reads other content under the current revision number.
    fleet.addRouter("l3", "launceston-a");
    await(fleet, SETTLE_SECONDS, "revision on the new router", f -> hasRevision(f, "l3"));
    fleet.publishVms();
    fleet.process("l3").awaitEvent("config.conflict");
    for (String name : routers) {
      assertEquals(adoptedDigest, configState(fleet, name).path("digest").asText());
    }
    assertNotEquals(adoptedDigest, configState(fleet, "l3").path("digest").asText());
    routers.add("l3");
    fleet.publishFile("10.toml", "[tiers.y]\nrank = 1\n");
    revision++;
    awaitRevision(fleet, routers);
    assertEquals(1, distinctDigests(fleet).size());
    // The new content removes accounts and classes.
    fleet.process("h1").awaitEvent("limit.lowered");
  }

  private void publishLimit(Fleet fleet, int limit) throws Exception {
    String text = "[accounts.theatre-royal.limits]\nrequests_per_second = %d\n";
    fleet.publishFile(LIMIT_FILE, text.formatted(limit));
    revision++;
  }

  private static void setPlatformMode(Fleet fleet, String mode) throws Exception {
    fleet.post(fleet.platform(), "/control/mode?mode=" + mode, "");
  }

  private void awaitRevision(Fleet fleet, Collection<String> names) throws Exception {
    String condition = "revision " + revision + " on " + names;
    await(
        fleet,
        PROPAGATION_SECONDS,
        condition,
        f -> names.stream().allMatch(n -> hasRevision(f, n)));
  }

  private static void await(Fleet fleet, long seconds, String condition, Predicate<Fleet> test)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!test.test(fleet)) {
      assertTrue(System.nanoTime() < deadlineNanos, condition + " not within " + seconds + " s");
      Thread.sleep(POLL_MILLIS);
    }
  }

  private boolean hasRevision(Fleet fleet, String name) {
    return configState(fleet, name).path("revision").asLong() == revision;
  }

  private static Collection<String> findReaders(Fleet fleet, Collection<String> names) {
    return names.stream().filter(n -> configState(fleet, n).path("reader").asBoolean()).toList();
  }

  private List<String> distinctDigests(Fleet fleet) {
    return routers.stream()
        .map(n -> configState(fleet, n).path("digest").asText())
        .distinct()
        .toList();
  }

  private JsonNode awaitAdoption(Fleet fleet, String name) throws Exception {
    return fleet
        .process(name)
        .awaitLine(
            n ->
                n.path("event").asText().equals("config.adopted")
                    && n.path("revision").asLong() == revision,
            "adoption");
  }

  private static JsonNode configState(Fleet fleet, String name) {
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
