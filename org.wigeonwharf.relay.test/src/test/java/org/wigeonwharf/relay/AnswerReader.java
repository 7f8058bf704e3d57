package org.wigeonwharf.relay;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An AnswerReader reads one HTTP/1.1 answer and tells whether its framing ended cleanly. */
final class AnswerReader {
  private static final int HEX = 16;

  private final InputStream in;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  AnswerReader(InputStream in) {
    this.in = in;
  }

  /** Reads one answer of a connection. */
  static RelayBench.Answer readFrom(Socket s) {
    try {
      return new AnswerReader(s.getInputStream()).read();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  RelayBench.Answer read() throws IOException {
    StringBuilder head = new StringBuilder();
    for (String l = line(); !l.isEmpty(); l = line()) {
      head.append(l).append('\n');
    }
    RelayBench.Answer a = new RelayBench.Answer(head.toString(), "", false);
    boolean clean = true;
    try {
      if (a.header("Transfer-Encoding").equals("chunked")) {
        chunks();
      } else {
        exactly(Integer.parseInt(a.header("Content-Length")));
      }
    } catch (IOException e) {
      clean = false;
    }
    return new RelayBench.Answer(a.head(), body.toString(StandardCharsets.UTF_8), clean);
  }

  private void chunks() throws IOException {
    for (int n = Integer.parseInt(line(), HEX); n > 0; n = Integer.parseInt(line(), HEX)) {
      exactly(n);
      line();
    }
    line();
  }

  private void exactly(int bytes) throws IOException {
    byte[] b = in.readNBytes(bytes);
    body.write(b);
    if (b.length < bytes) {
      throw new EOFException();
    }
  }

  private String line() throws IOException {
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
