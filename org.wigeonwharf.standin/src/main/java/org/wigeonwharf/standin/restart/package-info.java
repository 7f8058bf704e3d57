/** Measures rolling restarts of a small fleet of router processes under load. */
@NullMarked
package org.wigeonwharf.standin.restart;

import org.jspecify.annotations.NullMarked;
