/** Measures the bytes, CPU time and memory that each unit of load costs the production code. */
@NullMarked
package org.wigeonwharf.standin.capacity;

import org.jspecify.annotations.NullMarked;
