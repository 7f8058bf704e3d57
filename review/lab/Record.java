import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time in ms since the start of the case. */
final class Record implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws Exception {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double now() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  synchronized void add(String format, Object... args) {
    out.printf(Locale.ROOT, "%9.1f %s%n", now(), String.format(Locale.ROOT, format, args));
  }

  /** Writes a line that also goes to standard output. */
  void say(String format, Object... args) {
    add(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
