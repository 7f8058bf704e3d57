/** Measures what each unit of load costs in bytes, CPU time and memory, with the real code. */
@NullMarked
package org.wigeonwharf.standin.capacity;

import org.jspecify.annotations.NullMarked;
