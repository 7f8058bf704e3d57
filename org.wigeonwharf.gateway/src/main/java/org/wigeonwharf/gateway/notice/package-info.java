/** Keeps what backend servers state in their answers and restricts the requests to them by it. */
@NullMarked
package org.wigeonwharf.gateway.notice;

import org.jspecify.annotations.NullMarked;
