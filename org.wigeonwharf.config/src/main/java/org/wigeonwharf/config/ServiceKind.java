package org.wigeonwharf.config;

/** A ServiceKind says what stands behind a service. */
public enum ServiceKind {
  /** Model engines that stream tokens. */
  MODEL,
  /** Plain HTTP services, such as booking. */
  PLAIN
}
