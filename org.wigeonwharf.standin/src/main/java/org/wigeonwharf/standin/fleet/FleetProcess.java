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

/** A FleetProcess is one started process and the JSON lines that it has logged. */
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
   * Starts a Java process with this process's class path.
   *
   * @param name a name for messages
   * @param mainClass the class to run
   * @param args its arguments
   * @return the process, running
   * @throws IOException if it can't be started
   */
  public static FleetProcess start(String name, String mainClass, List<String> args)
      throws IOException {
    return start(name, List.of(), mainClass, args);
  }

  /**
   * Starts a Java process with this process's class path and further options of the JVM.
   *
   * @param name a name for messages
   * @param options options of the JVM
   * @param mainClass the class to run
   * @param args its arguments
   * @return the process, running
   * @throws IOException if it can't be started
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
      addLine("log ended: " + e.getMessage());
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
   * Waits for a log line.
   *
   * @param event the line's event
   * @return the first such line
   * @throws IOException if it does not come in time or the process ended
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public JsonNode awaitEvent(String event) throws IOException, InterruptedException {
    return awaitLine(n -> n.path("event").asText().equals(event), event);
  }

  /**
   * Waits for a log line that fits.
   *
   * @param condition tells whether a line is wanted
   * @param description what is waited for, for the error message
   * @return the first such line
   * @throws IOException if it does not come in time or the process ended
   * @throws InterruptedException if the waiting thread is interrupted
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
      wait(Math.min(leftMillis, 200));
    }
  }

  /**
   * Returns the address in a log line.
   *
   * @param event the line's event
   * @param field the line's field
   * @return the address
   * @throws IOException if the line does not come in time
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public InetSocketAddress awaitAddress(String event, String field)
      throws IOException, InterruptedException {
    return Addresses.parse(awaitEvent(event).path(field).asText());
  }

  /**
   * Returns the lines logged so far.
   *
   * @return a copy
   */
  public synchronized List<JsonNode> log() {
    return List.copyOf(log);
  }

  /**
   * Returns the operating system's number of the process.
   *
   * @return the process id
   */
  public long pid() {
    return process.pid();
  }

  /** Asks the process to stop gracefully. */
  public void terminate() {
    process.destroy();
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Freezes the process.
   *
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void freeze() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /**
   * Lets a frozen process go on.
   *
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void thaw() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /**
   * Sends a signal and keeps reading the log, unlike {@link #terminate()}.
   *
   * @param signal the signal as the kill command takes it, for example {@code -HUP}
   * @throws IOException if the signal can't be sent
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void signal(String signal) throws IOException, InterruptedException {
    int exitCode =
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    if (exitCode != 0) {
      throw new IOException("kill " + signal + " failed for " + name);
    }
  }

  /**
   * Waits for the process to end.
   *
   * @param timeoutSeconds longest wait
   * @return the exit code, or -1 if it still runs
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public int awaitExit(long timeoutSeconds) throws InterruptedException {
    return process.waitFor(timeoutSeconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }
}
