/** Messages and sessions between routers and shard schedulers. */
@NullMarked
package org.wigeonwharf.schedule.internal;

import org.jspecify.annotations.NullMarked;
