package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.wigeonwharf.model.Addresses;

/** Controls one started process and collects the JSON lines that it logs. */
public final class FleetProcess {
  private static final long LOG_TIMEOUT_SECONDS = 30;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String name;
  private final Process process;
  private final List<JsonNode> log = new ArrayList<>();
  private final List<String> plainLines = new ArrayList<>();

  private FleetProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly, "end-" + name));
    Thread t = new Thread(this::readLog, "log-" + name);
    t.setDaemon(true);
    t.start();
  }

  /**
   * Starts a Java process with this process's class path and a heap of at most 128 MiB.
   *
   * @param name name for error messages and thread names
   * @param mainClass full name of the main class
   * @param args its arguments
   * @return the started process
   * @throws IOException if the process can't be started
   */
  public static FleetProcess start(String name, String mainClass, List<String> args)
      throws IOException {
    return start(name, List.of(), mainClass, args);
  }

  /**
   * Starts a Java process as {@link #start(String, String, List)} does, with additional JVM
   * options.
   *
   * @param name name for error messages and thread names
   * @param options additional JVM options
   * @param mainClass full name of the main class
   * @param args its arguments
   * @return the started process
   * @throws IOException if the process can't be started
   */
  public static FleetProcess start(
      String name, List<String> options, String mainClass, List<String> args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx128m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.addAll(options);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(args);
    return new FleetProcess(name, new ProcessBuilder(command).redirectErrorStream(true).start());
  }

  private void readLog() {
    try (BufferedReader r =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = r.readLine(); line != null; line = r.readLine()) {
        addLine(line);
      }
    } catch (IOException e) {
      addLine("failed to read the log: " + e.getMessage());
    }
  }

  private synchronized void addLine(String line) {
    try {
      log.add(JSON.readTree(line));
    } catch (IOException e) {
      plainLines.add(line);
    }
    notifyAll();
  }

  /**
   * Waits for the log line of an event.
   *
   * @param event value of the line's {@code event} field
   * @return the first such line
   * @throws IOException if the line isn't logged within 30 s or the process ends without it
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public JsonNode awaitEvent(String event) throws IOException, InterruptedException {
    return awaitLine(n -> n.path("event").asText().equals(event), event);
  }

  /**
   * Waits for a log line that meets a condition.
   *
   * @param condition returns true for the line waited for
   * @param description names the line in the error message
   * @return the first such line
   * @throws IOException if the line isn't logged within 30 s or the process ends without it
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public synchronized JsonNode awaitLine(Predicate<JsonNode> condition, String description)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOG_TIMEOUT_SECONDS);
    while (true) {
      for (JsonNode n : log) {
        if (condition.test(n)) {
          return n;
        }
      }
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (leftMillis <= 0 || !process.isAlive()) {
        throw new IOException(
            name + " did not log " + description + "; other output: " + plainLines);
      }
      // The end of the process doesn't notify, so check for it at least every 200 ms.
      wait(Math.min(leftMillis, 200));
    }
  }

  /**
   * Waits for the log line of an event and returns an address from it.
   *
   * @param event value of the line's {@code event} field
   * @param field name of the field with the address
   * @return the address
   * @throws IOException if the line isn't logged within 30 s or the process ends without it
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public InetSocketAddress awaitAddress(String event, String field)
      throws IOException, InterruptedException {
    return Addresses.parse(awaitEvent(event).path(field).asText());
  }

  /**
   * Returns the JSON lines logged so far.
   *
   * @return a copy of the list
   */
  public synchronized List<JsonNode> log() {
    return List.copyOf(log);
  }

  /**
   * Returns the process id.
   *
   * @return the operating system's id of the process
   */
  public long pid() {
    return process.pid();
  }

  /** Asks the process to stop gracefully, by SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Kills the process by SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Freezes the process by SIGSTOP.
   *
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void freeze() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /**
   * Resumes a frozen process by SIGCONT.
   *
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void thaw() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /**
   * Sends a signal; unlike {@link #terminate()}, this keeps the process's output open, so that the
   * log is read to its end.
   *
   * @param signal the signal as an option of the kill command, for example {@code -HUP}
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void signal(String signal) throws IOException, InterruptedException {
    int exitCode =
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    if (exitCode != 0) {
      throw new IOException("kill " + signal + " failed for " + name);
    }
  }

  /**
   * Waits for the process to exit.
   *
   * @param timeoutSeconds longest wait, in seconds
   * @return the exit code, or -1 if the process still runs
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public int awaitExit(long timeoutSeconds) throws InterruptedException {
    return process.waitFor(timeoutSeconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }
}
