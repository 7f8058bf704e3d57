/** Starts routers and stand-ins as separate processes, for the demo and for tests of failures. */
@NullMarked
package org.wigeonwharf.standin.fleet;

import org.jspecify.annotations.NullMarked;
