/**
 * Handles requests between caller and backend connections: admission, retries, streams, logs and
 * metrics.
 */
@NullMarked
package org.wigeonwharf.gateway.http;

import org.jspecify.annotations.NullMarked;
