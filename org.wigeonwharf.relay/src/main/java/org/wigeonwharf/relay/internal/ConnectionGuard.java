package org.wigeonwharf.relay.internal;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.relay.RelayLimits;

/** A ConnectionGuard watches callers' connections and closes the overdue ones. */
public final class ConnectionGuard implements Connection.Listener {
  private static final long SWEEP_INTERVAL_MILLIS = 100;

  private final CallerConnections<Connection> connections;

  /**
   * Creates a guard; it watches once it is registered with a connector and started.
   *
   * @param clock the process's clock
   * @param limits bounds on number and time
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
   * Begins to close overdue connections; ends with the scheduler.
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
   * Returns how many connections are open.
   *
   * @return a count
   */
  public int count() {
    return connections.count();
  }
}
