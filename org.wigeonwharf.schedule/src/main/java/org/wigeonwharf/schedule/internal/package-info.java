/** Internals of the schedule slice. */
@NullMarked
package org.wigeonwharf.schedule.internal;

import org.jspecify.annotations.NullMarked;
