package org.wigeonwharf.config;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.ClassId;

/**
 * Classifies a service's requests by HTTP method and path.
 *
 * @param name the rule's name
 * @param methods HTTP methods it applies to; empty for all
 * @param prefix prefix of the path that follows the service's name
 * @param serviceClass the service class it assigns, or null if it assigns none
 * @param repeatable false if matching requests must run at most once
 */
public record PathRule(
    String name,
    Set<String> methods,
    String prefix,
    @Nullable ClassId serviceClass,
    boolean repeatable) {
  /**
   * Returns whether the rule applies to a request.
   *
   * @param method the request's HTTP method in upper case
   * @param path the path that follows the service's name, with its leading slash
   * @return true if it applies
   */
  public boolean matches(String method, String path) {
    return (methods.isEmpty() || methods.contains(method)) && path.startsWith(prefix);
  }
}
