import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One channel of a client to a router. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();

  Client(InetSocketAddress router) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(router, 1_000);
  }

  static byte[] head(String method, String path, String host, String id, String headers) {
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonwharf-Request-Id: %s\r\n%s\r\n")
        .formatted(method, path, host, id, headers)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /**
   * Reads one answer.
   *
   * @return the answer, or null if the channel has ended before it
   */
  Http.Message read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return Http.read(socket.getInputStream(), true);
  }

  /** Describes what was read: a status, "cut", "closed", "reset" or "nothing". */
  String result(int timeoutMillis) {
    try {
      Http.Message m = read(timeoutMillis);
      return m == null ? "closed" : m.complete() ? "" + m.status() : "cut";
    } catch (SocketTimeoutException e) {
      return "nothing";
    } catch (IOException e) {
      return "reset";
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
