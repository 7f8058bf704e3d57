/** Caller and backend connections and the life of a request between them. */
@NullMarked
package org.wigeonwharf.gateway.http;

import org.jspecify.annotations.NullMarked;
