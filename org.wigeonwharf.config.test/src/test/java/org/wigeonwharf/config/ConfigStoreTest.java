package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against an older revision replacing a newer one when snapshots arrive out of order. */
class ConfigStoreTest {
  private static List<SettingsFile> files(int revision) {
    return List.of(new SettingsFile("10.toml", "[tiers.t%d]\nrank = 0\n".formatted(revision)));
  }

  @Property
  void highestRevisionStaysInForceInAnyOrderOfDelivery(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 20) Integer> order) {
    ConfigStore store = new ConfigStore();
    int highest = 0;
    for (int r : order) {
      store.offer(r, files(r));
      highest = Math.max(highest, r);
      assertEquals(highest, store.current().revision());
      assertEquals(Snapshot.digest(files(highest)), store.current().digest());
    }
  }
}
