package org.wigeonwharf.gateway.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/** Guards against an order in which a priority, an account or a size of request starves. */
class FairQueueTest {
  private static final String SERVICE = "s";
  private static final long OBJECTIVE_MILLIS = 400;

  private final ServerUsage usage = new ServerUsage();
  private final FairQueue<Long> queue = new FairQueue<>(usage);
  private final List<QueuedRequest> requests = new ArrayList<>();
  private long number;

  private QueuedRequest request(int priority, String account, double slotMillis, long arrivedMs) {
    long arrivedAt = arrivedMs * Clock.NANOS_PER_MILLI;
    return new QueuedRequest(
        SERVICE,
        priority,
        account,
        slotMillis,
        0,
        arrivedAt,
        arrivedAt + OBJECTIVE_MILLIS * Clock.NANOS_PER_MILLI,
        arrivedAt + 5 * OBJECTIVE_MILLIS * Clock.NANOS_PER_MILLI,
        false,
        number++);
  }

  private long add(QueuedRequest r) {
    requests.add(r);
    queue.add(r.number(), r);
    return r.number();
  }

  private List<QueuedRequest> inOrder(long nowMillis) {
    return queue.inOrder(nowMillis * Clock.NANOS_PER_MILLI).stream()
        .map(n -> requests.get(n.intValue()))
        .toList();
  }

  /** Serves waiting requests in order, one at a time, and keeps others waiting. */
  private List<QueuedRequest> serve(int count, long nowMillis) {
    List<QueuedRequest> served = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      QueuedRequest r = inOrder(nowMillis).get(0);
      queue.remove(r.number());
      usage.recordSent(r, nowMillis * Clock.NANOS_PER_MILLI);
      served.add(r);
    }
    return served;
  }

  @Test
  void dueFirstWithinAnAccountAndLateOnesLast() {
    long late = add(request(1, "a", 50, 0));
    long second = add(request(1, "a", 500, 900));
    long first = add(request(1, "a", 50, 800));
    assertEquals(List.of(first, second, late), queue.inOrder(1_000 * Clock.NANOS_PER_MILLI));
  }

  @Test
  void repeatedRequestsFollowTheOthers() {
    QueuedRequest r = request(1, "a", 50, 0);
    long repeated =
        add(
            new QueuedRequest(
                SERVICE, 1, "a", 50, 0, 0, r.dueAt(), r.leavesAt(), true, r.number()));
    long other = add(request(1, "a", 50, 10));
    assertEquals(List.of(other, repeated), queue.inOrder(20 * Clock.NANOS_PER_MILLI));
  }

  @Test
  void accountsThatUseMoreUsuallyGetMore() {
    long second = Clock.NANOS_PER_SECOND;
    for (int i = 0; i < 600; i++) {
      usage.recordSent(request(1, "large", 50, 0), i * second / 10);
      usage.recordSent(request(1, "large", 50, 0), i * second / 10);
      usage.recordSent(request(1, "small", 50, 0), i * second / 10);
      number -= 3;
    }
    for (int i = 0; i < 200; i++) {
      add(request(1, "large", 50, 60_000));
      add(request(1, "small", 50, 60_000));
    }
    long large = serve(90, 60_000).stream().filter(r -> "large".equals(r.account())).count();
    assertTrue(large >= 50 && large <= 58, "of the account with twice the use: " + large);
  }

  @Test
  void accountsPayByServerTimeAndNotByCount() {
    for (int i = 0; i < 100; i++) {
      add(request(1, "long", 400, 0));
      add(request(1, "short", 50, 0));
    }
    long longs = serve(90, 100).stream().filter(r -> "long".equals(r.account())).count();
    assertTrue(longs >= 8 && longs <= 14, "long requests: " + longs);
  }

  @Test
  void lowerPriorityGetsItsShareWhileTheUrgentHaveTime() {
    for (int i = 0; i < 300; i++) {
      add(request(0, "a", 50, 0));
      add(request(2, "b", 50, 0));
    }
    long lower = serve(160, 100).stream().filter(r -> r.priority() == 2).count();
    assertTrue(lower >= 8 && lower <= 12, "of the lower priority: " + lower);
  }

  /**
   * A less urgent request precedes a more urgent one that waits only within its share, and only if
   * the more urgent one still has time or is not smaller.
   */
  @Property(tries = 300, seed = "36")
  void noInversionBeyondTheShare(
      @ForAll Random random, @ForAll @IntRange(min = 2, max = 60) int count) {
    List.copyOf(queue.values()).forEach(queue::remove);
    requests.clear();
    number = 0;
    for (int i = 0; i < count; i++) {
      add(
          request(
              random.nextInt(4),
              "a" + random.nextInt(5),
              10 + random.nextInt(500),
              random.nextInt(1_000)));
    }
    long nowMillis = 1_000;
    long now = nowMillis * Clock.NANOS_PER_MILLI;
    List<QueuedRequest> order = inOrder(nowMillis);
    assertEquals(count, new HashSet<>(order).size());
    double total = 0;
    double[] byPriority = new double[4];
    for (int i = 0; i < count; i++) {
      QueuedRequest r = order.get(i);
      int p = r.priority();
      boolean overtakes = order.subList(i, count).stream().anyMatch(o -> o.priority() < p);
      if (overtakes) {
        assertTrue(byPriority[p] < total / 16, "beyond its share");
        int most =
            order.subList(i, count).stream().mapToInt(QueuedRequest::priority).min().orElseThrow();
        boolean harmless =
            order.subList(i, count).stream()
                .filter(o -> o.priority() == most)
                .anyMatch(o -> o.hasSlack(now) || o.slotMillis() >= r.slotMillis());
        assertTrue(harmless, "a larger one precedes urgent ones without time");
      }
      byPriority[p] += r.slotMillis();
      total += r.slotMillis();
    }
  }
}
