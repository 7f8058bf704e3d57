/** Decides which requests are served, wait or are refused while servers have too little room. */
@NullMarked
package org.wigeonwharf.gateway.overload;

import org.jspecify.annotations.NullMarked;
