package org.wigeonwharf.relay.internal;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts connections until its listener is closed for good.
 *
 * <p>Closing a listener returns while a thread still waits in {@code accept}, and the kernel
 * accepts connections until that thread has left it.
 */
public final class DrainableConnector extends ServerConnector {
  /** Maximum time in ms to wait for the threads in {@code accept}, which closing interrupts. */
  private static final long MAX_WAIT_MILLIS = 2_000;

  private final Lock lock = new ReentrantLock();
  private final Condition left = lock.newCondition();
  private int accepting;
  private boolean closed;

  /**
   * Creates a connector that does not listen yet.
   *
   * @param server the server it belongs to
   * @param factory creates the connections
   */
  public DrainableConnector(Server server, HttpConnectionFactory factory) {
    super(server, factory);
  }

  @Override
  public void accept(int acceptorId) throws IOException {
    if (!enter()) {
      return;
    }
    try {
      super.accept(acceptorId);
    } finally {
      leave();
    }
  }

  private boolean enter() {
    lock.lock();
    try {
      if (!closed) {
        accepting++;
      }
      return !closed;
    } finally {
      lock.unlock();
    }
  }

  private void leave() {
    lock.lock();
    try {
      accepting--;
      left.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Closes the listener. Once this has returned, connections are refused.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   * @throws TimeoutException if a thread does not leave {@code accept}
   */
  public void stopAccepting() throws InterruptedException, TimeoutException {
    setAccepting(false);
    close();
    lock.lock();
    try {
      closed = true;
      long remaining = TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
      while (accepting > 0) {
        if (remaining <= 0) {
          throw new TimeoutException(accepting + " threads still accept connections");
        }
        remaining = left.awaitNanos(remaining);
      }
    } finally {
      lock.unlock();
    }
  }
}
