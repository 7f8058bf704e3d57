package org.wigeonwharf.gateway.feed;

import java.io.IOException;

/** Thrown if the store has discarded the changes that follow the requested revision. */
public final class HistoryLostException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public HistoryLostException() {
    super("the store has discarded the requested changes");
  }
}
