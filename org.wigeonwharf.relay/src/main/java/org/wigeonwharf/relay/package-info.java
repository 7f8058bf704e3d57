/** Caller HTTP, backend HTTP, verdicts and idempotency. */
@NullMarked
package org.wigeonwharf.relay;

import org.jspecify.annotations.NullMarked;
