package org.wigeonwharf.gateway.feed;

import java.io.IOException;

/** Thrown if the store answers a call with anything but what was asked for. */
public class StoreRefusedException extends IOException {
  private static final long serialVersionUID = 1L;

  private final long era;

  /**
   * Creates the exception.
   *
   * @param message what the store answered
   * @param era the era that the store stated, or the one known before if it stated none
   */
  public StoreRefusedException(String message, long era) {
    super(message);
    this.era = era;
  }

  /** Returns the era of the store that answered. */
  public long era() {
    return era;
  }
}
