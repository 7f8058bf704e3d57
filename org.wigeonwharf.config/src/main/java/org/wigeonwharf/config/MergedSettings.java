package org.wigeonwharf.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.POJONode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.toml.TomlReadFeature;
import io.vavr.control.Either;
import java.time.DateTimeException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Deep merge of settings files that keeps track of which file set each value.
 *
 * <p>Tables are merged key by key. Any other value is replaced as a whole by that of a later file.
 */
public final class MergedSettings {
  /** File name reported for a key that no file sets. */
  public static final String NO_FILE = "-";

  private static final TomlMapper TOML =
      TomlMapper.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();

  private final ObjectNode root;
  private final Map<String, List<Setting>> history;

  private final String fallbackFile;

  private MergedSettings(ObjectNode root, Map<String, List<Setting>> history, String fallbackFile) {
    this.root = root;
    this.history = history;
    this.fallbackFile = fallbackFile;
  }

  /**
   * A value as set by one file.
   *
   * @param file the file's name
   * @param value the value in JSON notation
   */
  public record Setting(String file, String value) {}

  /**
   * Merges settings files.
   *
   * @param files the files in merge order
   * @return the merge, or one fault for each file that is empty or has a syntax error
   */
  public static Either<List<Fault>, MergedSettings> merge(List<SettingsFile> files) {
    List<Fault> faults = new ArrayList<>();
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    Map<String, List<Setting>> history = new LinkedHashMap<>();
    for (SettingsFile file : files) {
      read(file, faults).ifPresent(table -> mergeTable(root, table, "", file.name(), history));
    }
    if (!faults.isEmpty()) {
      return Either.left(faults);
    }
    String fallbackFile = files.size() == 1 ? files.get(0).name() : NO_FILE;
    return Either.right(new MergedSettings(root, history, fallbackFile));
  }

  private static Optional<ObjectNode> read(SettingsFile file, List<Fault> faults) {
    if (file.text().isBlank()) {
      faults.add(new Fault(file.name(), "line 1", "is empty"));
      return Optional.empty();
    }
    try {
      return TOML.readTree(file.text()) instanceof ObjectNode table
          ? Optional.of(table)
          : Optional.empty();
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      faults.add(new Fault(file.name(), "line " + line, "syntax: " + e.getOriginalMessage()));
    } catch (ArithmeticException | DateTimeException | IllegalArgumentException e) {
      faults.add(new Fault(file.name(), "line 1", "syntax: " + e.getMessage()));
    }
    return Optional.empty();
  }

  private static void mergeTable(
      ObjectNode target,
      ObjectNode source,
      String path,
      String file,
      Map<String, List<Setting>> history) {
    for (Map.Entry<String, JsonNode> e : source.properties()) {
      String key = SettingsKey.child(path, e.getKey());
      JsonNode value = e.getValue();
      history.computeIfAbsent(key, k -> new ArrayList<>()).add(new Setting(file, describe(value)));
      if (!(value instanceof ObjectNode table)) {
        if (target.get(e.getKey()) instanceof ObjectNode) {
          history.keySet().removeIf(k -> SettingsKey.isWithin(k, key));
        }
        target.set(e.getKey(), value);
        continue;
      }
      ObjectNode child =
          target.get(e.getKey()) instanceof ObjectNode old ? old : target.putObject(e.getKey());
      mergeTable(child, table, key, file, history);
    }
  }

  /**
   * Formats a value for messages to operators.
   *
   * @param value any TOML value, including dates
   * @return the value in JSON notation; a date is unquoted, and a table is shown as (table)
   */
  static String describe(JsonNode value) {
    if (value.isObject()) {
      return "(table)";
    }
    if (value instanceof POJONode date) {
      return String.valueOf(date.getPojo());
    }
    if (!value.isArray()) {
      return value.toString();
    }
    List<String> elements = new ArrayList<>();
    value.forEach(v -> elements.add(describe(v)));
    return "[" + String.join(",", elements) + "]";
  }

  /**
   * Returns the merged tree.
   *
   * @return the root table, which callers must not modify
   */
  public ObjectNode root() {
    return root;
  }

  /**
   * Returns the values that the files set for a key.
   *
   * @param key the key's path as {@link SettingsKey} writes it
   * @return the values in merge order, of which the last is in force; empty for an unset key
   */
  public List<Setting> history(String key) {
    return List.copyOf(history.getOrDefault(key, List.of()));
  }

  /**
   * Returns the file whose value is in force.
   *
   * @param key the key's path
   * @return the file's name; for an unset key that of the closest enclosing table that is set, else
   *     the only file's name, else {@link #NO_FILE}
   */
  public String fileOf(String key) {
    List<Setting> settings = history(key);
    if (!settings.isEmpty()) {
      return settings.get(settings.size() - 1).file();
    }
    String table = SettingsKey.parent(key);
    return table.isEmpty() ? fallbackFile : fileOf(table);
  }

  /**
   * Returns the paths of all keys that are set.
   *
   * @return the paths in the order in which they were first set
   */
  public List<String> keys() {
    return List.copyOf(history.keySet());
  }
}
