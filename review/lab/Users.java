import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A process of many users, each with one channel to a router that it keeps open. Each sends a
 * request every twelve seconds, the first at any moment of that time. Standard input names the number of
 * users, one number a line; its end ends the process. Prints the counts once a second.
 */
final class Users {
  private static final long PAUSE_MILLIS = 12_000;
  private static final long REOPEN_MILLIS = 1_000;

  /** The time limit of a request in ms, after which its client closes the channel. */
  private static final long PATIENCE_MILLIS = 4_000;

  /** Number of channels that are opened in each round of some 10 ms. */
  private static final int OPENED_EACH_ROUND = 8;

  private final InetSocketAddress router;
  private final String request;
  private final Selector selector;
  private final Random random = new Random();
  private final List<User> users = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocate(8_192);
  private volatile int wanted;
  private volatile boolean ended;
  private int opened;
  private int number;
  private int answered;
  private int refused;
  private int unanswered;

  private enum State {
    CLOSED,
    CONNECTING,
    WAITING,
    IDLE
  }

  private final class User {
    private SocketChannel channel;
    private SelectionKey key;
    private State state = State.CLOSED;
    private long since;
    private final StringBuilder answer = new StringBuilder();

    private void to(State next, long now) {
      state = next;
      since = now;
    }

    private void open(long now) throws IOException {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = channel.register(selector, SelectionKey.OP_CONNECT, this);
      to(State.CONNECTING, now);
      if (channel.connect(router)) {
        connected(now);
      }
    }

    private void connected(long now) throws IOException {
      channel.finishConnect();
      key.interestOps(SelectionKey.OP_READ);
      to(State.IDLE, now - random.nextLong(PAUSE_MILLIS));
    }

    private void send(long now) throws IOException {
      answer.setLength(0);
      String text = request.replace("NUMBER", "u" + ProcessHandle.current().pid() + "x" + ++number);
      channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
      key.interestOps(SelectionKey.OP_READ);
      to(State.WAITING, now);
    }

    private void close(long now) {
      try {
        channel.close();
      } catch (IOException e) {
        // Closed already.
      }
      to(State.CLOSED, now);
    }

    private void read(long now) throws IOException {
      buffer.clear();
      int n = channel.read(buffer);
      if (n < 0) {
        unanswered += state == State.WAITING ? 1 : 0;
        close(now);
        return;
      }
      answer.append(new String(buffer.array(), 0, n, StandardCharsets.ISO_8859_1));
      int head = answer.indexOf("\r\n\r\n");
      if (state != State.WAITING || head < 0) {
        return;
      }
      String lower = answer.substring(0, head).toLowerCase(java.util.Locale.ROOT);
      int at = lower.indexOf("content-length: ");
      int end = at < 0 ? -1 : lower.indexOf("\r\n", at);
      int length =
          at < 0
              ? 0
              : Integer.parseInt(lower.substring(at + 16, end < 0 ? lower.length() : end).strip());
      if (answer.length() < head + 4 + length) {
        return;
      }
      if (lower.startsWith("http/1.1 200")) {
        answered++;
      } else {
        refused++;
      }
      if (lower.contains("connection: close")) {
        close(now);
      } else {
        to(State.IDLE, now);
      }
    }

    private void tick(long now) throws IOException {
      long age = now - since;
      if (state == State.CLOSED && age >= REOPEN_MILLIS && opened < OPENED_EACH_ROUND) {
        opened++;
        open(now);
      } else if (state == State.IDLE && age >= PAUSE_MILLIS) {
        send(now);
      } else if ((state == State.WAITING || state == State.CONNECTING) && age >= PATIENCE_MILLIS) {
        unanswered++;
        close(now);
      }
    }
  }

  private Users(InetSocketAddress router, String request) throws IOException {
    this.router = router;
    this.request = request;
    this.selector = Selector.open();
  }

  public static void main(String[] args) throws Exception {
    String headers =
        "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer " + args[2] + "\r\n";
    Users u =
        new Users(
            new InetSocketAddress(args[0], Integer.parseInt(args[1])),
            new String(
                Client.head("GET", "/lookup/2f", "app.example", "NUMBER", headers),
                StandardCharsets.ISO_8859_1));
    Thread input =
        new Thread(
            () -> {
              try (java.util.Scanner in = new java.util.Scanner(System.in)) {
                while (in.hasNextInt()) {
                  u.wanted = in.nextInt();
                }
              }
              u.ended = true;
            });
    input.setDaemon(true);
    input.start();
    u.run();
    System.exit(0);
  }

  private void run() throws IOException {
    long reportAt = 0;
    while (!ended) {
      selector.select(10);
      long now = System.nanoTime() / 1_000_000;
      for (SelectionKey k : selector.selectedKeys()) {
        handle((User) k.attachment(), k, now);
      }
      selector.selectedKeys().clear();
      while (users.size() < wanted) {
        users.add(new User());
      }
      while (users.size() > wanted) {
        User u = users.remove(users.size() - 1);
        if (u.state != State.CLOSED) {
          u.close(now);
        }
      }
      opened = 0;
      for (User u : users) {
        try {
          u.tick(now);
        } catch (IOException e) {
          unanswered++;
          u.close(now);
        }
      }
      if (now - reportAt >= 1_000) {
        reportAt = now;
        System.out.printf(
            "%d users, %d with an open channel, answered %d, refused %d, given up or cut %d%n",
            wanted,
            users.stream().filter(u -> u.state == State.IDLE || u.state == State.WAITING).count(),
            answered,
            refused,
            unanswered);
      }
    }
  }

  private void handle(User u, SelectionKey k, long now) {
    try {
      if (k.isValid() && k.isConnectable()) {
        u.connected(now);
      } else if (k.isValid() && k.isReadable()) {
        u.read(now);
      }
    } catch (IOException e) {
      unanswered++;
      u.close(now);
    }
  }
}
