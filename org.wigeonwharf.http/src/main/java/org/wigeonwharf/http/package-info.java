/** Reads HTTP messages of peers that may break the protocol. */
@NullMarked
package org.wigeonwharf.http;

import org.jspecify.annotations.NullMarked;
