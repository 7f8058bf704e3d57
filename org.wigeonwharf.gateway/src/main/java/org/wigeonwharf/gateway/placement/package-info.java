/** Chooses the backend server for each request. */
@NullMarked
package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.NullMarked;
