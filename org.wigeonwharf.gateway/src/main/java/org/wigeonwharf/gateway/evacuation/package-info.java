/** Tracks the failure domains whose servers must receive no more requests. */
@NullMarked
package org.wigeonwharf.gateway.evacuation;

import org.jspecify.annotations.NullMarked;
