/** Idempotency keys: each is executed at most once, by the router process that issued it. */
@NullMarked
package org.wigeonwharf.relay.keys;

import org.jspecify.annotations.NullMarked;
