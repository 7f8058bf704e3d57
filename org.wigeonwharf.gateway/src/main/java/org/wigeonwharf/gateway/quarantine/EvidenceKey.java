package org.wigeonwharf.gateway.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Names what evidence is collected about: a prompt part with the begin of its answers, or with its
 * answers as a whole.
 *
 * <p>The two are judged apart. That an answer goes on for a while proves that its parts do no harm
 * at the begin, which is soon known and tells the cause of most crashes. That they do no harm later
 * is proven by the end of an answer only. Keys are plain strings, so that all that is told about a
 * part to other routers holds for both.
 */
final class EvidenceKey {
  private static final int MAX_ID_LENGTH = 32;
  private static final int KEPT_ID_LENGTH = 20;

  /** Marks a key of whole answers; ids are read from a header field and can't hold it. */
  private static final String WHOLE = "\n";

  private EvidenceKey() {}

  /** Returns the key of a part with the begin of its answers. */
  static String ofBegin(String part) {
    // Callers choose ids freely, so their length is bounded.
    return part.length() <= MAX_ID_LENGTH
        ? part
        : part.substring(0, KEPT_ID_LENGTH) + '#' + Integer.toHexString(part.hashCode());
  }

  /** Returns the key of a part with its answers as a whole. */
  static String ofWhole(String part) {
    return ofBegin(part) + WHOLE;
  }

  /** Tells whether a key is about answers as a whole. */
  static boolean isWhole(String key) {
    return key.endsWith(WHOLE);
  }

  /** Returns the part's id, in its bounded form. */
  static String partOf(String key) {
    return isWhole(key) ? key.substring(0, key.length() - WHOLE.length()) : key;
  }

  /** Returns the ids of the parts of some keys, each once. */
  static Set<String> partsOf(Collection<String> keys) {
    Set<String> parts = new LinkedHashSet<>();
    keys.forEach(k -> parts.add(partOf(k)));
    return parts;
  }
}
