package org.wigeonwharf.platform;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A caller's connection that is used for one request after the other until the router closes it.
 */
final class KeptConnection implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 10_000;

  private final Socket socket = new Socket();

  /**
   * Holds a whole response.
   *
   * @param status its status
   * @param headers its headers, by lower-case name
   * @param body its body
   */
  record Response(int status, Map<String, String> headers, String body) {}

  KeptConnection(InetSocketAddress router) throws IOException {
    socket.connect(router, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  void send(String request) throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Reads the response.
   *
   * @return the response
   * @throws IOException if the connection ends before it is whole
   */
  Response read() throws IOException {
    InputStream in = socket.getInputStream();
    String statusLine = readLine(in);
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      for (int n = chunkSize(in); n > 0; n = chunkSize(in)) {
        body.write(readExactly(in, n));
        readLine(in);
      }
      readLine(in);
    } else {
      body.write(readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    return new Response(status, headers, body.toString(StandardCharsets.UTF_8));
  }

  /**
   * Reads everything until the router ends the connection.
   *
   * @return the bytes as text
   * @throws IOException if the connection stays open without a byte for 10 s
   */
  String readToEnd() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(bytes);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      // A reset ends the connection as well.
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /**
   * Reads lines until one begins as given.
   *
   * @return the rest of that line
   * @throws IOException if the connection ends before that
   */
  String readUntil(String begin) throws IOException {
    InputStream in = socket.getInputStream();
    String line = readLine(in);
    while (!line.startsWith(begin)) {
      // Lines of the head and the sizes of chunks come before it.
      line = readLine(in);
    }
    return line.substring(begin.length());
  }

  /**
   * Waits until the router, or a server, ends the connection in order.
   *
   * @throws IOException if the connection is reset or stays open without a byte for 10 s
   */
  void awaitEnd() throws IOException {
    while (socket.getInputStream().read() >= 0) {
      // The rest of the answer does not matter.
    }
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in), 16);
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("response cut");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("connection ended");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
