/** Routes, accounts and limits that a published configuration holds. */
@NullMarked
package org.wigeonwharf.gateway.route;

import org.jspecify.annotations.NullMarked;
