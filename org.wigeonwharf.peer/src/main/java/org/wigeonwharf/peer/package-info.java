/** Authenticated message transport between routers. */
@NullMarked
package org.wigeonwharf.peer;

import org.jspecify.annotations.NullMarked;
