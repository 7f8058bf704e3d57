package org.wigeonwharf.model;

/**
 * A RequestId names one caller's request, fleet-wide.
 *
 * @param origin the router process that the request arrived at
 * @param sequence the position among that process's requests, from 1
 */
public record RequestId(NodeId origin, long sequence) {
  @Override
  public String toString() {
    return origin + "-" + sequence;
  }
}
