/** Netty implementation of the peer transport. */
@NullMarked
package org.wigeonwharf.peer.internal;

import org.jspecify.annotations.NullMarked;
