/** Exchange of in-flight work and membership between gateways by datagrams. */
@NullMarked
package org.wigeonwharf.gateway.peer;

import org.jspecify.annotations.NullMarked;
