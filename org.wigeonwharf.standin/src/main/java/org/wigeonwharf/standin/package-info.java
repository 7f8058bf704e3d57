/** Small stand-ins for the platform, model engines and a booking service; not shipped. */
@NullMarked
package org.wigeonwharf.standin;

import org.jspecify.annotations.NullMarked;
