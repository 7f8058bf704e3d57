package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.model.ShardId;

/**
 * Checks that shards partition the servers of a failure domain, stay within their size limit and
 * change little when a server is added.
 */
class ShardMapTest {
  private static final int SHARD_SIZE = 4;

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

  @Property(tries = 60)
  void noShardIsLargerThanTheShardSize(@ForAll @IntRange(min = 0, max = 60) int servers) {
    ShardMap map = ShardMap.of(config(servers));
    map.shards().values().forEach(list -> assertTrue(list.size() <= SHARD_SIZE));
  }

  @Test
  void oneMoreServerMovesFewOthers() {
    Map<BackendServer, ShardId> before = placed(ShardMap.of(config(50)));
    Map<BackendServer, ShardId> after = placed(ShardMap.of(config(51)));
    long moved = before.keySet().stream().filter(s -> !before.get(s).equals(after.get(s))).count();
    assertTrue(moved <= 2 * SHARD_SIZE, "servers moved: " + moved);
  }

  private static Map<BackendServer, ShardId> placed(ShardMap map) {
    Map<BackendServer, ShardId> result = new HashMap<>();
    map.shards().forEach((shard, list) -> list.forEach(s -> result.put(s, shard)));
    return result;
  }
}
