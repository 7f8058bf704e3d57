/** Describes the routes, services, accounts and limits of a published configuration. */
@NullMarked
package org.wigeonwharf.gateway.route;

import org.jspecify.annotations.NullMarked;
