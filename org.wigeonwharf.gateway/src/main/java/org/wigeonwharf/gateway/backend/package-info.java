/** Backend servers and which of them may get requests. */
@NullMarked
package org.wigeonwharf.gateway.backend;

import org.jspecify.annotations.NullMarked;
