package org.wigeonwharf.membership;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;

/**
 * An EntryVm is one row of the platform's VM list.
 *
 * @param name the VM's name
 * @param domain its failure domain
 * @param peerAddress where its router accepts peers
 * @param leaving true if the platform is about to take it away
 */
public record EntryVm(
    String name, FailureDomain domain, InetSocketAddress peerAddress, boolean leaving) {}
