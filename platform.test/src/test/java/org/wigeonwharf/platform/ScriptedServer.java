package org.wigeonwharf.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Backend server for tests that answers with the bytes of a script, whether they are HTTP or not.
 */
final class ScriptedServer implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  final List<Request> received = new CopyOnWriteArrayList<>();

  /** Answers one request. */
  interface Script {
    /**
     * Writes the answer.
     *
     * @param request the request
     * @param connection its connection; the server reads on from it afterwards unless it is closed
     */
    void answer(Request request, Connection connection) throws IOException, InterruptedException;
  }

  /**
   * A request as received.
   *
   * @param number its position on its connection, from 1
   * @param path its path
   * @param headers its headers, by lower-case name
   * @param body its body
   */
  record Request(int number, String path, Map<String, String> headers, String body) {
    String id() {
      return header(WireNames.REQUEST_ID);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** The server's side of a connection. */
  record Connection(Socket socket) {
    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Ends the connection without a reset. */
    void close() throws IOException {
      socket.close();
    }

    /** Ends the connection by a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  ScriptedServer(Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    executor.execute(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  long received(String id) {
    return received.stream().filter(r -> id.equals(r.id())).count();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = listener.accept();
        executor.execute(() -> serve(s));
      }
    } catch (IOException e) {
      // The listener has been closed: the test is over.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      for (int number = 1; !socket.isClosed(); number++) {
        Request r = read(in, number);
        if (r == null) {
          return;
        }
        received.add(r);
        script.answer(r, new Connection(socket));
      }
    } catch (IOException e) {
      // The router has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Request read(InputStream in, int number) throws IOException {
    String requestLine = readLine(in);
    if (requestLine == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Request(number, requestLine.split(" ")[1], headers, body);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    executor.shutdownNow();
  }
}
