/** Operators' pages, log setup and settings reload of the wigeonwharf program. */
@NullMarked
package org.wigeonwharf.router.internal;

import org.jspecify.annotations.NullMarked;
