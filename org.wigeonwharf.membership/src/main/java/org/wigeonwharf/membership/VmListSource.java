package org.wigeonwharf.membership;

import java.io.IOException;
import java.util.List;

/** A VmListSource reads the platform's lagging list of entry VMs. */
public interface VmListSource {
  /**
   * Reads the list.
   *
   * @return all rows
   * @throws IOException if the platform can't be reached, refuses or answers nonsense
   * @throws InterruptedException if the waiting thread is interrupted
   */
  List<EntryVm> read() throws IOException, InterruptedException;
}
