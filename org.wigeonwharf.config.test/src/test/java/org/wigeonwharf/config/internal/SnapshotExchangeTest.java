package org.wigeonwharf.config.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;

/**
 * Tests the snapshot exchange among simulated routers.
 *
 * <p>Guards against routers that revert, stay behind or assemble a mixed configuration when
 * messages are lost, duplicated or reordered, and against undetected conflicts within one revision.
 */
class SnapshotExchangeTest {
  private static final int PUBLICATIONS = 12;
  private static final int STEPS = 120;

  /** Simulates two operators who publish concurrently, one file each, some versions faulty. */
  private static List<List<SettingsFile>> concurrentPublications(Random random) {
    Map<String, String> folder = new TreeMap<>();
    folder.put("10.toml", "[tiers.urgent]\nrank = 0\n");
    List<List<SettingsFile>> publications = new ArrayList<>();
    for (int r = 1; r <= PUBLICATIONS; r++) {
      boolean valid = random.nextInt(4) > 0;
      String text = "[tiers.t%d]\nrank = %s\n".formatted(r, valid ? r : "-1");
      folder.put(random.nextBoolean() ? "20-first.toml" : "30-second.toml", text);
      List<SettingsFile> files = new ArrayList<>();
      folder.forEach((name, content) -> files.add(new SettingsFile(name, content)));
      publications.add(files);
    }
    return publications;
  }

  @Property(tries = 300, seed = "61")
  void allRoutersConvergeToTheHighestValidRevisionReadWhateverTheDeliveryOrder(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int count) {
    Random random = new Random(seed);
    List<List<SettingsFile>> publications = concurrentPublications(random);
    VirtualRouters fleet = new VirtualRouters(count, 3, random);
    Map<VirtualRouters.VirtualRouter, Long> held = new HashMap<>();
    long highest = 0;
    for (int i = 0; i < STEPS; i++) {
      VirtualRouters.VirtualRouter reader = fleet.routers.get(random.nextInt(count));
      if (random.nextInt(4) == 0) {
        int r = random.nextInt(PUBLICATIONS);
        reader.readPublication(r + 1, publications.get(r));
        if (ConfigParser.parse(publications.get(r)).isRight()) {
          highest = Math.max(highest, r + 1);
        }
      } else {
        fleet.deliverUnreliably();
      }
      for (VirtualRouters.VirtualRouter v : fleet.routers) {
        long now = v.store.current().revision();
        assertTrue(now >= held.getOrDefault(v, 0L), "a configuration reverted");
        held.put(v, now);
      }
    }
    fleet.runReliably(100);
    for (VirtualRouters.VirtualRouter v : fleet.routers) {
      assertEquals(highest, v.store.current().revision());
      if (highest > 0) {
        List<SettingsFile> expected = publications.get((int) highest - 1);
        assertEquals(Snapshot.digest(expected), v.store.current().digest());
      }
      assertEquals(0, v.store.conflicts());
    }
  }

  @Property(tries = 50, seed = "62")
  void conflictingContentOfOneRevisionIsNotAdoptedAndIsCountedByBothRouters(@ForAll long seed) {
    VirtualRouters fleet = new VirtualRouters(2, 1, new Random(seed));
    List<SettingsFile> one = List.of(new SettingsFile("10.toml", "[tiers.a]\nrank = 0\n"));
    List<SettingsFile> other = List.of(new SettingsFile("10.toml", "[tiers.b]\nrank = 0\n"));
    fleet.routers.get(0).store.offer(7, one);
    fleet.routers.get(1).store.offer(7, other);
    for (int i = 0; i < 3; i++) {
      fleet.routers.forEach(fleet::sendNotice);
      fleet.runReliably(1);
    }
    assertEquals(Snapshot.digest(one), fleet.routers.get(0).store.current().digest());
    assertEquals(Snapshot.digest(other), fleet.routers.get(1).store.current().digest());
    fleet.routers.forEach(r -> assertEquals(1, r.store.conflicts()));
    fleet.routers.get(0).readPublication(8, one);
    fleet.runReliably(1);
    fleet.routers.forEach(r -> assertEquals(8, r.store.current().revision()));
  }

  @Test
  void onlyFilesThatDifferAreSent() {
    List<SettingsFile> before =
        List.of(
            new SettingsFile("10.toml", "[tiers.a]\nrank = 0\n"),
            new SettingsFile("20.toml", "[tiers.b]\nrank = 1\n"));
    List<SettingsFile> after =
        List.of(before.get(0), new SettingsFile("20.toml", "[tiers.b]\nrank = 2\n"));
    Snapshot next = new Snapshot(2, after, ConfigParser.parse(after).get());
    var message = SnapshotCodec.encode(next, SnapshotCodec.digests(before));
    assertEquals(1, message.getFilesCount());
    assertEquals(after, SnapshotCodec.assemble(message, before).get());
    assertTrue(SnapshotCodec.assemble(message, List.of()).isEmpty(), "a file is missing");
    var corrupted = message.toBuilder().setDigest("other").build();
    assertTrue(SnapshotCodec.assemble(corrupted, before).isEmpty(), "digest of the whole differs");
  }
}
