package org.wigeonwharf.config;

/** Kind of backend servers that a service has. */
public enum ServiceKind {
  /** Language-model engines that stream tokens. */
  MODEL,
  /** Plain HTTP servers, such as those of a booking service. */
  PLAIN
}
