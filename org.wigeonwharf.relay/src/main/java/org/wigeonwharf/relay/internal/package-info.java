/** Implementation of the relay. */
@NullMarked
package org.wigeonwharf.relay.internal;

import org.jspecify.annotations.NullMarked;
