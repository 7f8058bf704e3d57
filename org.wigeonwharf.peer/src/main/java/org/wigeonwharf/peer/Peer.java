package org.wigeonwharf.peer;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/**
 * A Peer is another router process that proved it knows the fleet secret.
 *
 * @param node the process
 * @param domain the failure domain that the process says it runs in
 * @param address where the process accepts peer connections
 */
public record Peer(NodeId node, FailureDomain domain, InetSocketAddress address) {}
