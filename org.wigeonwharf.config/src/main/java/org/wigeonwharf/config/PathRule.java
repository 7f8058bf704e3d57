package org.wigeonwharf.config;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.ClassId;

/**
 * A PathRule classifies a service's requests by method and path.
 *
 * @param name the rule's name
 * @param methods HTTP methods it applies to; empty for all
 * @param prefix start of the path behind the service's name
 * @param serviceClass the class it gives, or null to leave the class open
 * @param repeatable false if such requests must run at most once
 */
public record PathRule(
    String name,
    Set<String> methods,
    String prefix,
    @Nullable ClassId serviceClass,
    boolean repeatable) {
  /**
   * Tells whether the rule applies.
   *
   * @param method the request's method, upper case
   * @param path the path behind the service's name, with its leading slash
   * @return true if it does
   */
  public boolean matches(String method, String path) {
    return (methods.isEmpty() || methods.contains(method)) && path.startsWith(prefix);
  }
}
