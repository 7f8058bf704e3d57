/** Relays HTTP requests between callers and backend servers: verdicts, retries, idempotency. */
@NullMarked
package org.wigeonwharf.relay;

import org.jspecify.annotations.NullMarked;
