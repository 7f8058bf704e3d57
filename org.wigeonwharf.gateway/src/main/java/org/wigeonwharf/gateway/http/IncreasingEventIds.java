package org.wigeonwharf.gateway.http;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Permits only events with increasing ids. Ids that are no numbers can't be compared. */
final class IncreasingEventIds implements EventOrder {
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private long last = -1;

  /**
   * Creates an instance.
   *
   * @param lastEventId id of the last event that the caller has, or null if it has none
   */
  IncreasingEventIds(@Nullable String lastEventId) {
    if (lastEventId != null) {
      accept(lastEventId);
    }
  }

  @Override
  public boolean accept(String id) {
    if (!NUMBER.matcher(id).matches()) {
      return true;
    }
    long number = Long.parseLong(id);
    if (number <= last) {
      return false;
    }
    last = number;
    return true;
  }
}
