/** The wigeonwharf program: process settings, object graph, life cycle and state dump. */
@NullMarked
package org.wigeonwharf.router;

import org.jspecify.annotations.NullMarked;
