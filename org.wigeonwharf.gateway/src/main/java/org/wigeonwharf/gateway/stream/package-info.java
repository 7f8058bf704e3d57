/** Decides which backend servers a stream that was broken off may continue at. */
@NullMarked
package org.wigeonwharf.gateway.stream;

import org.jspecify.annotations.NullMarked;
