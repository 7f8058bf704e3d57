package org.wigeonwharf.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * MergedSettings is the deep merge of settings files that remembers which file set each value.
 *
 * <p>Tables merge by key, every other value is replaced whole, and the later file wins.
 */
public final class MergedSettings {
  /** Separates the parts of a key's path. */
  public static final String SEPARATOR = ".";

  /** Stands for the file of a key that no file sets. */
  public static final String NO_FILE = "-";

  private static final TomlMapper TOML = new TomlMapper();

  private final ObjectNode root;
  private final Map<String, List<Setting>> history;

  private final String unsetKeysFile;

  private MergedSettings(
      ObjectNode root, Map<String, List<Setting>> history, String unsetKeysFile) {
    this.root = root;
    this.history = history;
    this.unsetKeysFile = unsetKeysFile;
  }

  /**
   * A Setting is one value as one file gave it.
   *
   * @param file the file's name
   * @param value the value, in JSON spelling
   */
  public record Setting(String file, String value) {}

  /**
   * Merges files.
   *
   * @param files in merge order
   * @return the merge, or one fault for each file with a syntax error
   */
  public static Either<List<Fault>, MergedSettings> merge(List<SettingsFile> files) {
    List<Fault> faults = new ArrayList<>();
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    Map<String, List<Setting>> history = new LinkedHashMap<>();
    for (SettingsFile file : files) {
      try {
        JsonNode tree = TOML.readTree(file.text());
        if (tree instanceof ObjectNode table) {
          mergeTable(root, table, "", file.name(), history);
        }
      } catch (JsonProcessingException e) {
        int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
        faults.add(new Fault(file.name(), "line " + line, "syntax: " + e.getOriginalMessage()));
      }
    }
    if (!faults.isEmpty()) {
      return Either.left(faults);
    }
    String unsetKeysFile = files.size() == 1 ? files.get(0).name() : NO_FILE;
    return Either.right(new MergedSettings(root, history, unsetKeysFile));
  }

  private static void mergeTable(
      ObjectNode into,
      ObjectNode from,
      String path,
      String file,
      Map<String, List<Setting>> history) {
    for (Map.Entry<String, JsonNode> e : from.properties()) {
      String key = path.isEmpty() ? e.getKey() : path + SEPARATOR + e.getKey();
      JsonNode value = e.getValue();
      history.computeIfAbsent(key, k -> new ArrayList<>()).add(new Setting(file, describe(value)));
      if (!(value instanceof ObjectNode table)) {
        into.set(e.getKey(), value);
        continue;
      }
      ObjectNode child =
          into.get(e.getKey()) instanceof ObjectNode old ? old : into.putObject(e.getKey());
      mergeTable(child, table, key, file, history);
    }
  }

  private static String describe(JsonNode value) {
    return value.isObject() ? "(table)" : value.toString();
  }

  /**
   * Returns the merged tree.
   *
   * @return the root table; not to be changed
   */
  public ObjectNode root() {
    return root;
  }

  /**
   * Returns every file's value for a key.
   *
   * @param key the path, parts joined by {@link #SEPARATOR}
   * @return in merge order: the last one is in force; empty for an unset key
   */
  public List<Setting> history(String key) {
    return List.copyOf(history.getOrDefault(key, List.of()));
  }

  /**
   * Returns the file whose value is in force.
   *
   * @param key the path
   * @return the file's name; for an unset key the file of the table around it, else the only file,
   *     else {@link #NO_FILE}
   */
  public String fileOf(String key) {
    List<Setting> settings = history(key);
    if (!settings.isEmpty()) {
      return settings.get(settings.size() - 1).file();
    }
    int dot = key.lastIndexOf(SEPARATOR);
    return dot < 0 ? unsetKeysFile : fileOf(key.substring(0, dot));
  }

  /**
   * Returns all keys with a value.
   *
   * @return paths, in the order they were first set
   */
  public List<String> keys() {
    return List.copyOf(history.keySet());
  }
}
