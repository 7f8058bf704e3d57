/** Which backend server takes a request, and in what order held requests go. */
@NullMarked
package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.NullMarked;
