package org.wigeonwharf.model;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Converts between IP socket addresses and their text form without any DNS lookup. */
public final class Addresses {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
  // Only IP literals are passed to the JDK, which would look up any other host in DNS.
  private static final Pattern IP_LITERAL =
      Pattern.compile(OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]");

  private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

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
    if (!IP_LITERAL.matcher(host).matches()) {
      throw new IllegalArgumentException("expected an IP address, got '" + host + "'");
    }
    String port = text.substring(colon + 1);
    if (!PORT.matcher(port).matches()) {
      throw new IllegalArgumentException("invalid port in '" + text + "'");
    }
    InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(port));
    if (address.isUnresolved()) {
      throw new IllegalArgumentException("expected an IP address, got '" + host + "'");
    }
    return address;
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
