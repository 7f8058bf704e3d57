/** Drivers that measure the relay against direct calls; not shipped. */
@NullMarked
package org.wigeonwharf.standin.relay;

import org.jspecify.annotations.NullMarked;
