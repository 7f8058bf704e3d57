package org.wigeonwharf.config;

/**
 * A limit or other guarantee to callers that a newer configuration lowers or removes.
 *
 * @param key the key's path
 * @param before the older value
 * @param after the newer value
 */
public record LoweredGuarantee(String key, String before, String after) {}
