/** Slot leases: wait queue, server choice, account limits and the scheduling service. */
@NullMarked
package org.wigeonwharf.schedule;

import org.jspecify.annotations.NullMarked;
