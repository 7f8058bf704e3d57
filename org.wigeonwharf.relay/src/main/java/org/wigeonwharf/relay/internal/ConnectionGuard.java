package org.wigeonwharf.relay.internal;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.relay.RelayLimits;

/** Tracks callers' connections and closes the overdue ones. */
public final class ConnectionGuard implements Connection.Listener {
  private static final long SWEEP_INTERVAL_MILLIS = 100;

  private final CallerConnections<Connection> connections;

  /**
   * Creates a guard, which must be registered with a connector and started.
   *
   * @param clock the clock of this process
   * @param limits the limits and timeouts
   */
  public ConnectionGuard(Clock clock, RelayLimits limits) {
    this.connections =
        new CallerConnections<>(
            clock,
            limits.maxConnectionsPerAccount(),
            limits.headTimeoutMillis(),
            limits.callerIdleTimeoutMillis());
  }

  /**
   * Starts to close overdue connections periodically, until the scheduler stops.
   *
   * @param scheduler a started scheduler
   */
  public void start(Scheduler scheduler) {
    scheduler.schedule(() -> sweep(scheduler), SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sweep(Scheduler scheduler) {
    connections.overdue().forEach(c -> c.getEndPoint().close());
    if (scheduler.isRunning()) {
      start(scheduler);
    }
  }

  @Override
  public void onOpened(Connection connection) {
    connections.opened(connection);
  }

  @Override
  public void onClosed(Connection connection) {
    connections.closed(connection);
  }

  void requestBegan(Connection connection) {
    connections.requestBegan(connection);
  }

  void requestEnded(Connection connection) {
    connections.requestEnded(connection);
  }

  boolean tryAssign(Connection connection, AccountId account) {
    return connections.tryAssign(connection, account);
  }

  /**
   * Returns the number of open connections.
   *
   * @return a count
   */
  public int count() {
    return connections.count();
  }
}
