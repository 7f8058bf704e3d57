package org.wigeonwharf.model;

/**
 * Identifies a shard: backend servers of one service in one failure domain that one scheduler
 * leases out.
 *
 * @param service the service
 * @param domain the failure domain of the backend servers
 * @param index the shard's number, from 0
 */
public record ShardId(ServiceId service, FailureDomain domain, int index)
    implements Comparable<ShardId> {
  @Override
  public int compareTo(ShardId other) {
    return toString().compareTo(other.toString());
  }

  @Override
  public String toString() {
    return service + "/" + domain + "/" + index;
  }
}
