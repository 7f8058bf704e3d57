/** The wigeonctl program: checks settings folders and shows the state of routers. */
@NullMarked
package org.wigeonwharf.ctl;

import org.jspecify.annotations.NullMarked;
