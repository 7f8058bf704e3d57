/** Reads published configuration from the platform and distributes snapshots among routers. */
@NullMarked
package org.wigeonwharf.config.internal;

import org.jspecify.annotations.NullMarked;
