/** Drivers that compare calls through the relay with direct calls; not shipped. */
@NullMarked
package org.wigeonwharf.standin.relay;

import org.jspecify.annotations.NullMarked;
