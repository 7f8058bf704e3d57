/** Keeps prompts with parts that crash backend servers away from them. */
@NullMarked
package org.wigeonwharf.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
