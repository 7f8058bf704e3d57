package org.wigeonwharf.relay.keys;

/**
 * A HeaderLine is one field of an HTTP head.
 *
 * @param name the field's name
 * @param value its value
 */
public record HeaderLine(String name, String value) {}
