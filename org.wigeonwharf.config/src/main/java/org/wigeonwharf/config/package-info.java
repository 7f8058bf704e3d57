/** Published configuration: merge, checks, snapshots and their spread. */
@NullMarked
package org.wigeonwharf.config;

import org.jspecify.annotations.NullMarked;
