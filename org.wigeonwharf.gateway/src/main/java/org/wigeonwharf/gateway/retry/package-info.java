/** The fleet's budget for repeated requests. */
@NullMarked
package org.wigeonwharf.gateway.retry;

import org.jspecify.annotations.NullMarked;
