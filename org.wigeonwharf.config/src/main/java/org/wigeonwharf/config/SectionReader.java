package org.wigeonwharf.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Addresses;

/**
 * Reads typed values from one settings table and collects all faults.
 *
 * <p>A getter that finds a fault records it and returns a default, so that one pass reports all
 * faults. {@link #reportUnknownKeys()} reports the keys that no getter requested.
 */
public final class SectionReader {
  private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
  private static final InetSocketAddress PLACEHOLDER_ADDRESS =
      InetSocketAddress.createUnresolved("none", 0);

  private final MergedSettings settings;
  private final ObjectNode table;
  private final String path;
  private final List<Fault> faults;
  private final Set<String> requestedKeys = new LinkedHashSet<>();

  private SectionReader(
      MergedSettings settings, ObjectNode table, String path, List<Fault> faults) {
    this.settings = settings;
    this.table = table;
    this.path = path;
    this.faults = faults;
  }

  /**
   * Creates a reader of the root table.
   *
   * @param settings the merged settings
   * @param faults receives every fault found
   * @return the reader
   */
  public static SectionReader root(MergedSettings settings, List<Fault> faults) {
    return new SectionReader(settings, settings.root(), "", faults);
  }

  /**
   * Records a fault of one key.
   *
   * @param key the key within this section
   * @param reason what is wrong
   */
  public void addFault(String key, String reason) {
    String full = fullKey(key);
    faults.add(new Fault(settings.fileOf(full), full, reason));
  }

  /**
   * Returns whether a key is set, and marks it as known.
   *
   * @param key the key within this section
   * @return true if any file sets it
   */
  public boolean has(String key) {
    requestedKeys.add(key);
    return table.has(key);
  }

  /** Returns the keys that are set in this section, for tables whose keys are names. */
  public List<String> keys() {
    List<String> keys = new ArrayList<>();
    table.fieldNames().forEachRemaining(keys::add);
    return keys;
  }

  /**
   * Reads a table of sections, such as one per backend server.
   *
   * @param key the key within this section
   * @return a reader for each named section, in the order in which they were first set
   */
  public Map<String, SectionReader> sections(String key) {
    Map<String, SectionReader> result = new LinkedHashMap<>();
    JsonNode node = get(key);
    if (node == null) {
      return result;
    }
    if (!(node instanceof ObjectNode o)) {
      addFault(key, "expected a table");
      return result;
    }
    for (Map.Entry<String, JsonNode> e : o.properties()) {
      String child = SettingsKey.child(fullKey(key), e.getKey());
      if (e.getKey().chars().anyMatch(Character::isISOControl)) {
        faults.add(new Fault(settings.fileOf(child), child, "has a control character in its name"));
      } else if (e.getValue() instanceof ObjectNode t && !e.getKey().isBlank()) {
        result.put(e.getKey(), new SectionReader(settings, t, child, faults));
      } else {
        faults.add(new Fault(settings.fileOf(child), child, "expected a named table"));
      }
    }
    return result;
  }

  /**
   * Reads one subtable; an absent one is read as empty.
   *
   * @param key the key within this section
   * @return the subtable's reader
   */
  public SectionReader section(String key) {
    JsonNode node = get(key);
    if (node != null && !node.isObject()) {
      addFault(key, "expected a table");
    }
    ObjectNode t = node instanceof ObjectNode o ? o : JsonNodeFactory.instance.objectNode();
    return new SectionReader(settings, t, fullKey(key), faults);
  }

  /**
   * Reads a required string.
   *
   * @param key the key within this section
   * @return the string, or "" if it is missing or faulty
   */
  public String requireText(String key) {
    String s = text(key, "");
    if (!table.has(key)) {
      addFault(key, "is required");
    } else if (s.isBlank() && table.get(key).isTextual()) {
      addFault(key, "is blank");
    }
    return s;
  }

  /**
   * Reads an optional string.
   *
   * @param key the key within this section
   * @param defaultValue the value if the key is unset or faulty
   * @return the string
   */
  public String text(String key, String defaultValue) {
    JsonNode node = get(key);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isTextual()) {
      addFault(key, "expected a text string in quotes, got " + MergedSettings.describe(node));
      return defaultValue;
    }
    return node.textValue();
  }

  /**
   * Reads a required IP address with port.
   *
   * @param key the key within this section
   * @param minPort smallest accepted port; 0 where the operating system may choose one
   * @return the address, or an unresolved placeholder if it is missing or faulty
   */
  public InetSocketAddress address(String key, int minPort) {
    String text = requireText(key);
    if (text.isBlank()) {
      return PLACEHOLDER_ADDRESS;
    }
    try {
      InetSocketAddress a = Addresses.parse(text);
      if (a.getPort() < minPort) {
        throw new IllegalArgumentException("is not a usable address: '" + text + "'");
      }
      return a;
    } catch (IllegalArgumentException e) {
      addFault(key, String.valueOf(e.getMessage()));
      return PLACEHOLDER_ADDRESS;
    }
  }

  /**
   * Reads a boolean.
   *
   * @param key the key within this section
   * @param defaultValue the value if the key is unset or faulty
   * @return the value
   */
  public boolean flag(String key, boolean defaultValue) {
    JsonNode node = get(key);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isBoolean()) {
      addFault(key, "expected true or false, got " + MergedSettings.describe(node));
      return defaultValue;
    }
    return node.booleanValue();
  }

  /**
   * Reads an integer.
   *
   * @param key the key within this section
   * @param defaultValue the value if the key is unset or faulty
   * @param min smallest accepted value
   * @param max largest accepted value
   * @return the number
   */
  public int integer(String key, int defaultValue, int min, int max) {
    JsonNode node = get(key);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isIntegralNumber()) {
      addFault(key, "expected a whole number, got " + MergedSettings.describe(node));
      return defaultValue;
    }
    if (!node.canConvertToInt() || node.intValue() < min || node.intValue() > max) {
      addFault(
          key,
          "expected a number from "
              + min
              + " to "
              + max
              + ", got "
              + MergedSettings.describe(node));
      return defaultValue;
    }
    return node.intValue();
  }

  /**
   * Reads a decimal number.
   *
   * @param key the key within this section
   * @param defaultValue the value if the key is unset or faulty
   * @param min smallest accepted value
   * @param max largest accepted value
   * @return the number
   */
  public double decimal(String key, double defaultValue, double min, double max) {
    JsonNode node = get(key);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isNumber()) {
      addFault(key, "expected a number, got " + MergedSettings.describe(node));
      return defaultValue;
    }
    double d = node.doubleValue();
    if (!(d >= min && d <= max)) {
      addFault(
          key,
          "expected a number from "
              + min
              + " to "
              + max
              + ", got "
              + MergedSettings.describe(node));
      return defaultValue;
    }
    return d;
  }

  /**
   * Reads a duration such as {@code "780ms"}, {@code "2s"}, {@code "5m"} or {@code "1h"}.
   *
   * @param key the key within this section
   * @param defaultValue the value if the key is unset or faulty
   * @param max longest accepted duration
   * @return the duration, above zero unless it is the default
   */
  public Duration duration(String key, Duration defaultValue, Duration max) {
    JsonNode node = get(key);
    if (node == null) {
      return defaultValue;
    }
    Matcher m = DURATION.matcher(node.isTextual() ? node.textValue() : "");
    if (!m.matches()) {
      addFault(
          key,
          "expected a duration like \"780ms\", \"2s\", \"5m\" or \"1h\", got "
              + MergedSettings.describe(node));
      return defaultValue;
    }
    Duration d = unit(m.group(2)).multipliedBy(Long.parseLong(m.group(1)));
    if (d.isZero() || d.compareTo(max) > 0) {
      addFault(key, "expected a duration above zero and at most " + max.toMillis() + "ms");
      return defaultValue;
    }
    return d;
  }

  private static Duration unit(String unit) {
    return switch (unit) {
      case "ms" -> Duration.ofMillis(1);
      case "s" -> Duration.ofSeconds(1);
      case "m" -> Duration.ofMinutes(1);
      default -> Duration.ofHours(1);
    };
  }

  /**
   * Reads a list of strings.
   *
   * @param key the key within this section
   * @return the strings; empty if the key is unset
   */
  public List<String> texts(String key) {
    List<String> result = new ArrayList<>();
    JsonNode node = get(key);
    if (node == null) {
      return result;
    }
    if (!node.isArray()) {
      addFault(key, "expected a list of text strings, got " + MergedSettings.describe(node));
      return result;
    }
    for (JsonNode n : node) {
      if (n.isTextual() && !n.textValue().isBlank()) {
        result.add(n.textValue());
      } else {
        addFault(key, "expected a list of text strings, found " + MergedSettings.describe(n));
      }
    }
    return result;
  }

  /**
   * Reads a list of integers.
   *
   * @param key the key within this section
   * @param min smallest accepted value
   * @param max largest accepted value
   * @return the numbers; empty if the key is unset
   */
  public List<Integer> integers(String key, int min, int max) {
    List<Integer> result = new ArrayList<>();
    JsonNode node = get(key);
    if (node == null) {
      return result;
    }
    if (!node.isArray()) {
      addFault(key, "expected a list of numbers, got " + MergedSettings.describe(node));
      return result;
    }
    for (JsonNode n : node) {
      if (n.isInt() && n.intValue() >= min && n.intValue() <= max) {
        result.add(n.intValue());
      } else {
        addFault(
            key,
            "expected numbers from "
                + min
                + " to "
                + max
                + ", found "
                + MergedSettings.describe(n));
      }
    }
    return result;
  }

  /** Reports every key that no getter requested, with a hint if it resembles a known key. */
  public void reportUnknownKeys() {
    for (String key : (Iterable<String>) table::fieldNames) {
      if (!requestedKeys.contains(key)) {
        String hint = SpellingHint.nearestKey(key, requestedKeys);
        addFault(key, hint == null ? "unknown key" : "unknown key; did you mean '" + hint + "'?");
      }
    }
  }

  private @Nullable JsonNode get(String key) {
    requestedKeys.add(key);
    return table.get(key);
  }

  private String fullKey(String key) {
    return SettingsKey.child(path, key);
  }
}
