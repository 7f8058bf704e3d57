/** Idempotency keys: the router process that issued a key executes its request at most once. */
@NullMarked
package org.wigeonwharf.relay.keys;

import org.jspecify.annotations.NullMarked;
