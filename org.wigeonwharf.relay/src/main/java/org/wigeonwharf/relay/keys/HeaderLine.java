package org.wigeonwharf.relay.keys;

/**
 * A header field of an HTTP message.
 *
 * @param name the field name
 * @param value the field value
 */
public record HeaderLine(String name, String value) {}
