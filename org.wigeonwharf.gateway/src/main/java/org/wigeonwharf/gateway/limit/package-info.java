/** Shares the request rates that backend servers accept among the routers. */
@NullMarked
package org.wigeonwharf.gateway.limit;

import org.jspecify.annotations.NullMarked;
