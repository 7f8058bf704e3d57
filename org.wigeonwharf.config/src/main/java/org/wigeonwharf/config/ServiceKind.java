package org.wigeonwharf.config;

/** Kind of a service, given by what its backend servers run. */
public enum ServiceKind {
  /** Language-model engines that stream tokens. */
  MODEL,
  /** Plain HTTP servers, such as those of a booking service. */
  PLAIN
}
