package org.wigeonwharf.gateway.http;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.quarantine.LossStage;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.ServerEnd;

/**
 * Finds out which lost connections mean that a backend server's process ended unexpectedly, and
 * reports the prompts that were lost with it.
 *
 * <p>A connection is also lost if the network, the router or the server resets it. Only if the
 * server refuses further connections, and was neither draining nor withdrawn, has its process
 * ended. Not thread-safe.
 */
final class ServerEndDetector {
  /** Maximum number of servers whose lost requests are remembered. */
  private static final int MAX_SERVERS = 64;

  private final ServerDirectory directory;
  private final LivenessCheck check;
  private final PromptQuarantine quarantine;
  private final Timers timers;
  private final Map<BackendServer, Losses> lossesByServer = new LinkedHashMap<>();

  /** Holds the prompt parts of the requests that were lost with one server. */
  private static final class Losses {
    private final long lostAt;
    private final Set<String> answering = new HashSet<>();
    private final Set<String> waiting = new HashSet<>();
    private final Set<String> running = new HashSet<>();
    private boolean ended;

    private Losses(long now) {
      this.lostAt = now;
    }

    private Set<String> parts(LossStage stage) {
      return switch (stage) {
        case WAITING -> waiting;
        case BEGINNING -> answering;
        case RUNNING -> running;
      };
    }
  }

  ServerEndDetector(
      ServerDirectory directory, LivenessCheck check, PromptQuarantine quarantine, Timers timers) {
    this.directory = directory;
    this.check = check;
    this.quarantine = quarantine;
    this.timers = timers;
  }

  /**
   * Records that the connection of a request was lost.
   *
   * @param server the server
   * @param sharedParts the shared parts of the request's prompt
   * @param stage how far its answer had come
   */
  void recordLost(BackendServer server, List<String> sharedParts, LossStage stage) {
    BackendServer published = directory.find(server.id());
    if (published == null
        || published.draining()
        || published.startedAt() != server.startedAt()
        || sharedParts.isEmpty()) {
      return;
    }
    Losses losses = lossesByServer.get(server);
    if (losses == null) {
      losses = new Losses(timers.nanos());
      removeOldest();
      lossesByServer.put(server, losses);
      Losses checked = losses;
      check.check(server, result -> finishCheck(server, checked, result));
    }
    losses.parts(stage).addAll(sharedParts);
    if (losses.ended) {
      report(server, losses);
    }
  }

  private void removeOldest() {
    Iterator<BackendServer> oldest = lossesByServer.keySet().iterator();
    while (lossesByServer.size() >= MAX_SERVERS && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  private void finishCheck(BackendServer server, Losses losses, LivenessCheck.Result result) {
    if (result == LivenessCheck.Result.ENDED) {
      losses.ended = true;
      report(server, losses);
    } else {
      lossesByServer.remove(server, losses);
    }
  }

  private void report(BackendServer server, Losses losses) {
    quarantine.recordServerEnd(
        new ServerEnd(
            server.id(), server.startedAt(), losses.answering, losses.waiting, losses.running),
        losses.lostAt,
        timers.nanos());
  }
}
