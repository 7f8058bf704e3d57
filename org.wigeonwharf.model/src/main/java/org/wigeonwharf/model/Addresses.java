package org.wigeonwharf.model;

import java.net.InetSocketAddress;

/** Addresses converts between IP socket addresses and their text without any name look-up. */
public final class Addresses {
  private Addresses() {}

  /**
   * Parses {@code IP:PORT}.
   *
   * @param text for example {@code 127.0.0.1:8080} or {@code [::1]:8080}
   * @return the address
   * @throws IllegalArgumentException if the text has no port or names a host instead of an IP
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected IP:PORT, got '" + text + "'");
    }
    String host = text.substring(0, colon);
    if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
      throw new IllegalArgumentException("expected an IP address, got '" + host + "'");
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("bad port in '" + text + "'", e);
    }
    return new InetSocketAddress(host, port);
  }

  /**
   * Formats an address as {@link #parse} reads it.
   *
   * @param address a resolved address
   * @return {@code IP:PORT}
   */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
