/** Tracks the published backend servers and which of them may receive requests. */
@NullMarked
package org.wigeonwharf.gateway.backend;

import org.jspecify.annotations.NullMarked;
