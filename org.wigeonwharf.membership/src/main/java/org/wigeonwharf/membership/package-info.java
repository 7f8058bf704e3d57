/** Live routers of the entry VMs, heartbeats and rendezvous hashing. */
@NullMarked
package org.wigeonwharf.membership;

import org.jspecify.annotations.NullMarked;
