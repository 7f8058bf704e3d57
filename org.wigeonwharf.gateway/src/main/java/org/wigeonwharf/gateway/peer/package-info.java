/** Exchanges in-flight work and membership between routers by datagrams. */
@NullMarked
package org.wigeonwharf.gateway.peer;

import org.jspecify.annotations.NullMarked;
