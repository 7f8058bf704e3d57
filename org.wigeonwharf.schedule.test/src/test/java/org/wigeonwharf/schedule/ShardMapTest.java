package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.SettingsFile;

class ShardMapTest {
  private static PublishedConfig config(int servers) {
    StringBuilder text = new StringBuilder("[services.s]\nkind = \"model\"\nshard_size = 4\n");
    for (int i = 0; i < servers; i++) {
      text.append(
          "[services.s.servers.x%d]\naddress = \"127.0.0.1:1\"\ndomain = \"d%d\"\n"
              .formatted(i, i % 2));
    }
    return ConfigParser.parse(List.of(new SettingsFile("a.toml", text.toString()))).get();
  }

  @Property(tries = 60)
  void everyServerIsInExactlyOneShardOfItsDomain(@ForAll @IntRange(min = 0, max = 60) int servers) {
    ShardMap map = ShardMap.of(config(servers));
    int placed = map.shards().values().stream().mapToInt(List::size).sum();
    assertEquals(servers, placed);
    map.shards()
        .forEach((shard, list) -> list.forEach(s -> assertEquals(shard.domain(), s.domain())));
  }
}
