/** Measures a rolling restart of a small fleet of real processes under load. */
@NullMarked
package org.wigeonwharf.standin.restart;

import org.jspecify.annotations.NullMarked;
