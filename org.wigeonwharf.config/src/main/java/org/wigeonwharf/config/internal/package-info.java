/** Internals of the configuration slice. */
@NullMarked
package org.wigeonwharf.config.internal;

import org.jspecify.annotations.NullMarked;
