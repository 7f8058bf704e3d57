package org.wigeonwharf.membership;

import java.io.IOException;
import java.util.List;

/** Reads the platform's list of entry VMs, which may lag behind the actual set. */
public interface VmListSource {
  /**
   * Reads the list.
   *
   * @return all entry VMs in the list
   * @throws IOException if the platform cannot be reached, refuses the request or returns a
   *     malformed response
   * @throws InterruptedException if the waiting thread is interrupted
   */
  List<EntryVm> read() throws IOException, InterruptedException;
}
