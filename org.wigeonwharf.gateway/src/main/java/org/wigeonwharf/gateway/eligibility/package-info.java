/** Decides which backend servers a request may be sent to at all, before one of them is chosen. */
@NullMarked
package org.wigeonwharf.gateway.eligibility;

import org.jspecify.annotations.NullMarked;
