package org.wigeonwharf.gateway.feed;

/** Thrown if the store does not have the changes that follow the requested revision. */
public final class HistoryLostException extends StoreRefusedException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param era the era of the store that answered
   */
  public HistoryLostException(long era) {
    super("the store has discarded the requested changes", era);
  }
}
