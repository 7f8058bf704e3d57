package org.wigeonwharf.model;

/**
 * Identifies a caller's request uniquely in the fleet.
 *
 * @param origin the router process that received the request from the caller
 * @param sequence the request's sequence number in that process, from 1
 */
public record RequestId(NodeId origin, long sequence) {
  @Override
  public String toString() {
    return origin + "-" + sequence;
  }
}
