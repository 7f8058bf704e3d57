/** Measures the decision classes in virtual time, with a naive version beside them. */
@NullMarked
package org.wigeonwharf.standin.measure;

import org.jspecify.annotations.NullMarked;
