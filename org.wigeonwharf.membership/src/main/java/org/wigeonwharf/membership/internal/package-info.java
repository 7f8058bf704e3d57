/** HTTP client for the platform's VM list. */
@NullMarked
package org.wigeonwharf.membership.internal;

import org.jspecify.annotations.NullMarked;
