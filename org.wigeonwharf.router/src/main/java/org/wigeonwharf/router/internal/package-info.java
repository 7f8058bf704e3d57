/** Internals of the router binary. */
@NullMarked
package org.wigeonwharf.router.internal;

import org.jspecify.annotations.NullMarked;
