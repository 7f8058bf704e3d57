import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
  private Http() {}

  /** One message; {@code complete} is false if the channel ended within it. */
  record Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Returns a line without its end, or null if the channel has ended before it. */
  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    for (int c = in.read(); ; c = in.read()) {
      if (c < 0) {
        if (b.size() == 0) {
          return null;
        }
        throw new EOFException("channel ended within a line");
      }
      if (c == '\n') {
        String s = b.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      b.write(c);
    }
  }

  /** Reads a message, or returns null if the channel ends before its first byte. */
  static Message read(InputStream in, boolean response) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = readBody(in, headers, body, response);
    return new Message(first, headers, body.toByteArray(), complete);
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body, boolean response)
      throws IOException {
    try {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        while (true) {
          String size = line(in);
          if (size == null) {
            return false;
          }
          int n = Integer.parseInt(size.split(";")[0].strip(), 16);
          if (!copy(in, body, n) || line(in) == null) {
            return false;
          }
          if (n == 0) {
            return true;
          }
        }
      }
      if (headers.containsKey("content-length")) {
        return copy(in, body, Integer.parseInt(headers.get("content-length")));
      }
      if (response) {
        in.transferTo(body);
      }
      return true;
    } catch (EOFException e) {
      return false;
    }
  }

  private static boolean copy(InputStream in, ByteArrayOutputStream body, int n)
      throws IOException {
    byte[] b = in.readNBytes(n);
    body.writeBytes(b);
    return b.length == n;
  }
}
