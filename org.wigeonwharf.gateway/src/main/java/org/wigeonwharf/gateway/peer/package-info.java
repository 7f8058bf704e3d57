/** What routers tell each other about running work. */
@NullMarked
package org.wigeonwharf.gateway.peer;

import org.jspecify.annotations.NullMarked;
