package org.wigeonwharf.relay;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads one HTTP/1.1 response and records whether its framing was complete. */
final class ResponseReader {
  private static final int HEX_RADIX = 16;

  private final InputStream in;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  ResponseReader(InputStream in) {
    this.in = in;
  }

  /** Reads one response from a connection. */
  static RelayFixture.Response readFrom(Socket s) {
    try {
      return new ResponseReader(s.getInputStream()).read();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  RelayFixture.Response read() throws IOException {
    StringBuilder head = new StringBuilder();
    for (String l = readLine(); !l.isEmpty(); l = readLine()) {
      head.append(l).append('\n');
    }
    RelayFixture.Response response = new RelayFixture.Response(head.toString(), "", false);
    boolean complete = true;
    try {
      if (response.header("Transfer-Encoding").equals("chunked")) {
        readChunks();
      } else {
        readExactly(Integer.parseInt(response.header("Content-Length")));
      }
    } catch (IOException e) {
      complete = false;
    }
    return new RelayFixture.Response(
        response.head(), body.toString(StandardCharsets.UTF_8), complete);
  }

  private void readChunks() throws IOException {
    for (int n = Integer.parseInt(readLine(), HEX_RADIX);
        n > 0;
        n = Integer.parseInt(readLine(), HEX_RADIX)) {
      readExactly(n);
      readLine();
    }
    readLine();
  }

  private void readExactly(int bytes) throws IOException {
    byte[] b = in.readNBytes(bytes);
    body.write(b);
    if (b.length < bytes) {
      throw new EOFException();
    }
  }

  private String readLine() throws IOException {
    StringBuilder s = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      s.append((char) b);
    }
    return s.toString().trim();
  }
}
