/** Types shared by all bundles: identifiers, tiers, verdicts and the clock. */
@NullMarked
package org.wigeonwharf.model;

import org.jspecify.annotations.NullMarked;
