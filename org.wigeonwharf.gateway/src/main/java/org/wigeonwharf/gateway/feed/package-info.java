/** Reads the published configuration and servers and watches them for changes. */
@NullMarked
package org.wigeonwharf.gateway.feed;

import org.jspecify.annotations.NullMarked;
