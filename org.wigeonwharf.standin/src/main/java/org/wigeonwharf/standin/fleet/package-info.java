/** Runs routers and stand-ins as separate processes, for the demo, measurements and fault tests. */
@NullMarked
package org.wigeonwharf.standin.fleet;

import org.jspecify.annotations.NullMarked;
