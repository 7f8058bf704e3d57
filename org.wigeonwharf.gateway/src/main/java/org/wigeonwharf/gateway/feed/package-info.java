/** Reading and watching of the published configuration and servers. */
@NullMarked
package org.wigeonwharf.gateway.feed;

import org.jspecify.annotations.NullMarked;
