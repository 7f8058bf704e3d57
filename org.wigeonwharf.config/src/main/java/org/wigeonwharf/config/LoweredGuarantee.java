package org.wigeonwharf.config;

/**
 * A LoweredPromise is one limit or promise to callers that a later configuration takes back.
 *
 * @param key the key's path
 * @param before what was promised
 * @param after what is promised now
 */
public record LoweredGuarantee(String key, String before, String after) {}
