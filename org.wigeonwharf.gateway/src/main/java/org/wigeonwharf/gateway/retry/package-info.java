/** Limits retries across the fleet of routers. */
@NullMarked
package org.wigeonwharf.gateway.retry;

import org.jspecify.annotations.NullMarked;
