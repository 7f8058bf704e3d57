package org.wigeonwharf.membership;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;

/**
 * Describes one entry VM in the platform's VM list.
 *
 * @param name the VM's name
 * @param domain the VM's failure domain
 * @param peerAddress the address on which the VM's router accepts peer connections
 * @param leaving true if the platform is about to remove the VM
 */
public record EntryVm(
    String name, FailureDomain domain, InetSocketAddress peerAddress, boolean leaving) {}
