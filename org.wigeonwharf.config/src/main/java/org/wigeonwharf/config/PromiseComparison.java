package org.wigeonwharf.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.Tier;

/**
 * A PromiseComparison finds what callers were promised by one configuration and not by the next.
 *
 * <p>It compares the values in force, defaults included: an unset limit means unlimited, so that
 * unsetting one lowers nothing and setting one does.
 */
public final class PromiseComparison {
  private static final String REMOVED = "removed";
  private static final String SET = "set";
  private static final String UNLIMITED = "unlimited";

  private final List<LoweredPromise> lowered = new ArrayList<>();

  private PromiseComparison() {}

  /**
   * Compares two configurations.
   *
   * @param before the older one
   * @param after the newer one
   * @return every promise that falls back, none if nothing does
   */
  public static List<LoweredPromise> lowered(PublishedConfig before, PublishedConfig after) {
    PromiseComparison c = new PromiseComparison();
    c.each("classes", before.classes(), after.classes(), c::compareClass);
    c.each("services", before.services(), after.services(), c::compareService);
    c.each("accounts", before.accounts(), after.accounts(), c::compareAccount);
    return List.copyOf(c.lowered);
  }

  /** A Comparer looks at one item that both configurations have. */
  @FunctionalInterface
  private interface Comparer<T> {
    void compare(String path, T before, T after);
  }

  private <K, T> void each(String table, Map<K, T> before, Map<K, T> after, Comparer<T> comparer) {
    before.forEach(
        (id, old) -> {
          String path = SettingsKey.child(table, id.toString());
          T now = after.get(id);
          if (now == null) {
            lowered.add(new LoweredPromise(path, SET, REMOVED));
          } else {
            comparer.compare(path, old, now);
          }
        });
  }

  private void compareClass(String path, ClassSpec a, ClassSpec b) {
    if (a.tier().isHigherThan(b.tier())) {
      note(path, "tier", describe(a.tier()), describe(b.tier()));
    }
    longer(path, "first_token_target", a.firstTokenTarget(), b.firstTokenTarget());
    longer(path, "token_gap_target", a.tokenGapTarget(), b.tokenGapTarget());
    if (b.deadline().compareTo(a.deadline()) < 0) {
      note(path, "deadline", millis(a.deadline()), millis(b.deadline()));
    }
    less(path, "share", a.share(), b.share());
    less(path, "waiting_places", a.waitingPlaces(), b.waitingPlaces());
    off(path, "spill", a.spill(), b.spill());
  }

  private void compareService(String path, ServiceSpec a, ServiceSpec b) {
    less(path, "waiting_places", a.waitingPlaces(), b.waitingPlaces());
    off(path, "resumable", a.resumable(), b.resumable());
    Map<ServerId, BackendServer> serving = new LinkedHashMap<>(a.servers());
    serving.values().removeIf(BackendServer::leaving);
    each(SettingsKey.child(path, "servers"), serving, b.servers(), this::compareServer);
  }

  private void compareServer(String path, BackendServer a, BackendServer b) {
    less(path, "slots", a.slots(), b.slots());
    if (b.leaving()) {
      note(path, "state", "in", "leaving");
    }
  }

  private void compareAccount(String path, AccountSpec a, AccountSpec b) {
    if (!b.classes().containsAll(a.classes())) {
      note(path, "classes", names(a), names(b));
    }
    less(path, "weight", a.weight(), b.weight());
    compareLimits(SettingsKey.child(path, "limits"), a.limits(), b.limits());
  }

  private void compareLimits(String path, AccountLimits a, AccountLimits b) {
    double none = AccountLimits.MAX_RATE;
    limit(path, "requests_per_second", a.requestsPerSecond(), b.requestsPerSecond(), none);
    limit(path, "tokens_per_second", a.tokensPerSecond(), b.tokensPerSecond(), none);
    limit(path, "concurrent", a.concurrent(), b.concurrent(), AccountLimits.MAX_CONCURRENT);
  }

  private void limit(String path, String key, double a, double b, double unlimited) {
    if (b < a) {
      note(path, key, a >= unlimited ? UNLIMITED : number(a), number(b));
    }
  }

  private void less(String path, String key, double a, double b) {
    limit(path, key, a, b, Double.POSITIVE_INFINITY);
  }

  private void longer(String path, String key, Duration a, Duration b) {
    if (b.compareTo(a) > 0) {
      note(path, key, millis(a), millis(b));
    }
  }

  private void off(String path, String key, boolean a, boolean b) {
    if (a && !b) {
      note(path, key, "true", "false");
    }
  }

  private void note(String path, String key, String before, String after) {
    lowered.add(new LoweredPromise(SettingsKey.child(path, key), before, after));
  }

  private static String describe(Tier tier) {
    return tier.name() + " (rank " + tier.rank() + ")";
  }

  private static String names(AccountSpec account) {
    return account.classes().stream()
        .map(ClassId::value)
        .sorted()
        .collect(Collectors.joining(", "));
  }

  private static String millis(Duration d) {
    return d.toMillis() + "ms";
  }

  private static String number(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }
}
