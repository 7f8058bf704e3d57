/** Measures the scheduling policy against a naive baseline in virtual time. */
@NullMarked
package org.wigeonwharf.standin.measure;

import org.jspecify.annotations.NullMarked;
