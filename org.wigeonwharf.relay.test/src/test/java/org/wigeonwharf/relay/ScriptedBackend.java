package org.wigeonwharf.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP server that runs one script per connection. */
final class ScriptedBackend implements AutoCloseable {
  /** Handles one accepted connection, which is reset when the script ends. */
  interface Script {
    void run(Connection connection) throws Exception;
  }

  /** One accepted connection. */
  final class Connection {
    final Socket socket;
    private final InputStream in;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Reads the request head. */
    String readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
        int b = in.read();
        if (b < 0) {
          throw new IOException("the connection was closed within the request head");
        }
        if (head.size() == 0) {
          requests.incrementAndGet();
        }
        head.write(b);
      }
      return head.toString(StandardCharsets.US_ASCII);
    }

    void readBody(int bytes) throws IOException {
      in.readNBytes(bytes);
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
    }

    void awaitEnd() throws IOException {
      while (in.read() >= 0) {
        continue;
      }
    }

    void closeCleanly() throws IOException {
      socket.shutdownOutput();
      awaitEnd();
    }
  }

  private final ServerSocket server = new ServerSocket();
  private final AtomicInteger requests = new AtomicInteger();
  private volatile Script script;

  ScriptedBackend(Script script) throws IOException {
    this.script = script;
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    startDaemon(this::acceptLoop);
  }

  private static void startDaemon(Runnable task) {
    Thread t = new Thread(task, "backend");
    t.setDaemon(true);
    t.start();
  }

  private void acceptLoop() {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        startDaemon(() -> runScript(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void runScript(Socket s) {
    try (s) {
      s.setSoLinger(true, 0);
      script.run(new Connection(s));
    } catch (Exception e) {
      // The relay closed the connection; the script ends.
    }
  }

  /** Returns the number of requests with at least one byte, if the scripts read the head. */
  int requests() {
    return requests.get();
  }

  void script(Script next) {
    script = next;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
