package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.standin.fleet.FailoverTrial;

/**
 * Checks that no request is refused when the scheduler's process is killed or frozen, or resumes
 * after another router has taken over its role.
 */
class FailoverProcessTest {
  private static final Path CONFIG = Path.of("..", "demo", "config");

  @Test
  void noRequestIsRefusedWhenSchedulerProcessIsKilledFrozenOrResumed() throws Exception {
    try (FailoverTrial trial = new FailoverTrial(CONFIG)) {
      String first = trial.scheduler();
      assertEquals(0, trial.killScheduler().refused());
      String second = trial.scheduler();
      assertNotEquals(first, second);
      assertEquals(0, trial.freezeScheduler().refused());
      assertNotEquals(second, trial.scheduler());
      assertEquals(0, trial.thawRouter(second).refused());
    }
  }
}
