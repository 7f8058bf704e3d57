/** Positions in the platform's store, by which what was read is ordered. */
@NullMarked
package org.wigeonwharf.gateway.store;

import org.jspecify.annotations.NullMarked;
