import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;

/** Sends requests at a constant rate. */
final class Load {
  private Load() {}

  /**
   * Starts an action at a rate for some time, and waits until all have ended.
   *
   * @param perSecond actions per second
   * @param seconds how long new ones are started
   * @param action receives its number, from 0
   */
  static void at(Lab lab, double perSecond, double seconds, IntConsumer action) {
    List<Future<?>> started = new ArrayList<>();
    long begin = System.nanoTime();
    for (int n = 0; n < perSecond * seconds; n++) {
      long due = begin + (long) (n / perSecond * 1e9);
      Lab.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      int number = n;
      started.add(lab.threads.submit(() -> action.accept(number)));
    }
    for (Future<?> f : started) {
      try {
        f.get();
      } catch (ExecutionException e) {
        lab.say("a caller failed: %s", e.getCause());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** The same without waiting. */
  static void begin(Lab lab, double perSecond, double seconds, IntConsumer action) {
    lab.threads.execute(() -> at(lab, perSecond, seconds, action));
  }
}
