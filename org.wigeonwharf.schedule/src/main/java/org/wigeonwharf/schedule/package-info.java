/** Slot leases: the waiting queue, server choice, limits and their service. */
@NullMarked
package org.wigeonwharf.schedule;

import org.jspecify.annotations.NullMarked;
