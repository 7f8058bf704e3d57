/** Internals of the membership slice. */
@NullMarked
package org.wigeonwharf.membership.internal;

import org.jspecify.annotations.NullMarked;
