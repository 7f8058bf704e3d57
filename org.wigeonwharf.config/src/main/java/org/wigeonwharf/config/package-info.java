/** Published configuration: merging, validation, snapshots and their distribution to routers. */
@NullMarked
package org.wigeonwharf.config;

import org.jspecify.annotations.NullMarked;
