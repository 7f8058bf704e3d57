/** Internals of the relay slice. */
@NullMarked
package org.wigeonwharf.relay.internal;

import org.jspecify.annotations.NullMarked;
