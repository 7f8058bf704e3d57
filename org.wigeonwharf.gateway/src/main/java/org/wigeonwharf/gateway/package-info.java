/** Forwards requests by host and path to the backend servers of a published directory. */
@NullMarked
package org.wigeonwharf.gateway;

import org.jspecify.annotations.NullMarked;
