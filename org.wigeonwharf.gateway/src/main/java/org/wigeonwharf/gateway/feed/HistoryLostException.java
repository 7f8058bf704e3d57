package org.wigeonwharf.gateway.feed;

import java.io.IOException;

/** Indicates that the store no longer holds the changes after the revision asked for. */
public final class HistoryLostException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public HistoryLostException() {
    super("the store no longer holds the changes asked for");
  }
}
