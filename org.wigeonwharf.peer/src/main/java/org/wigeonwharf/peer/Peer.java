package org.wigeonwharf.peer;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/**
 * Identifies a router process that takes part in peer messaging: an authenticated remote one, or
 * this process itself.
 *
 * @param node the process's name and incarnation
 * @param domain the failure domain that the process reports for itself
 * @param address the address on which the process accepts peer connections
 */
public record Peer(NodeId node, FailureDomain domain, InetSocketAddress address) {}
