package org.wigeonwharf.model;

import java.net.InetSocketAddress;

/** Converts between IP socket addresses and their text form without any DNS lookup. */
public final class Addresses {
  private Addresses() {}

  /**
   * Parses {@code IP:PORT}.
   *
   * @param text for example {@code 127.0.0.1:8080} or {@code [::1]:8080}
   * @return the address
   * @throws IllegalArgumentException if the text has no valid port, or a host name instead of an IP
   *     address
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
      throw new IllegalArgumentException("invalid port in '" + text + "'", e);
    }
    return new InetSocketAddress(host, port);
  }

  /**
   * Formats an address so that {@link #parse} can read it.
   *
   * @param address a resolved address
   * @return {@code IP:PORT}
   */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
