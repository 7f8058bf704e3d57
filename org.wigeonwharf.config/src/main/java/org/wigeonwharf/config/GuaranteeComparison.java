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
 * Finds the guarantees to callers that a newer configuration lowers or removes.
 *
 * <p>Effective values are compared, including defaults. An unset limit means unlimited: setting one
 * lowers a guarantee, and unsetting one does not.
 */
public final class GuaranteeComparison {
  private static final String REMOVED = "removed";
  private static final String SET = "set";
  private static final String UNLIMITED = "unlimited";

  private final List<LoweredGuarantee> lowered = new ArrayList<>();

  private GuaranteeComparison() {}

  /**
   * Compares two configurations.
   *
   * @param before the older configuration
   * @param after the newer configuration
   * @return every guarantee that is lowered or removed
   */
  public static List<LoweredGuarantee> lowered(PublishedConfig before, PublishedConfig after) {
    GuaranteeComparison c = new GuaranteeComparison();
    c.compareItems("classes", before.classes(), after.classes(), c::compareClass);
    c.compareItems("services", before.services(), after.services(), c::compareService);
    c.compareItems("accounts", before.accounts(), after.accounts(), c::compareAccount);
    return List.copyOf(c.lowered);
  }

  /** Compares one item that exists in both configurations. */
  @FunctionalInterface
  private interface Comparer<T> {
    void compare(String path, T before, T after);
  }

  private <K, T> void compareItems(
      String table, Map<K, T> before, Map<K, T> after, Comparer<T> comparer) {
    before.forEach(
        (id, older) -> {
          String path = SettingsKey.child(table, id.toString());
          T newer = after.get(id);
          if (newer == null) {
            lowered.add(new LoweredGuarantee(path, SET, REMOVED));
          } else {
            comparer.compare(path, older, newer);
          }
        });
  }

  private void compareClass(String path, ClassSpec before, ClassSpec after) {
    if (before.tier().isHigherThan(after.tier())) {
      addLowered(path, "tier", formatTier(before.tier()), formatTier(after.tier()));
    }
    checkIncrease(path, "first_token_target", before.firstTokenTarget(), after.firstTokenTarget());
    checkIncrease(path, "token_gap_target", before.tokenGapTarget(), after.tokenGapTarget());
    if (after.deadline().compareTo(before.deadline()) < 0) {
      addLowered(path, "deadline", formatMillis(before.deadline()), formatMillis(after.deadline()));
    }
    checkDecrease(path, "share", before.share(), after.share());
    checkDecrease(path, "waiting_places", before.waitingPlaces(), after.waitingPlaces());
    checkDisabled(path, "spill", before.spill(), after.spill());
  }

  private void compareService(String path, ServiceSpec before, ServiceSpec after) {
    checkDecrease(path, "waiting_places", before.waitingPlaces(), after.waitingPlaces());
    checkDisabled(path, "resumable", before.resumable(), after.resumable());
    Map<ServerId, BackendServer> serving = new LinkedHashMap<>(before.servers());
    serving.values().removeIf(BackendServer::leaving);
    compareItems(SettingsKey.child(path, "servers"), serving, after.servers(), this::compareServer);
  }

  private void compareServer(String path, BackendServer before, BackendServer after) {
    checkDecrease(path, "slots", before.slots(), after.slots());
    if (after.leaving()) {
      addLowered(path, "state", "in", "leaving");
    }
  }

  private void compareAccount(String path, AccountSpec before, AccountSpec after) {
    if (!after.classes().containsAll(before.classes())) {
      addLowered(path, "classes", classNames(before), classNames(after));
    }
    checkDecrease(path, "weight", before.weight(), after.weight());
    compareLimits(SettingsKey.child(path, "limits"), before.limits(), after.limits());
  }

  private void compareLimits(String path, AccountLimits before, AccountLimits after) {
    double unlimitedRate = AccountLimits.MAX_RATE;
    checkLimitDecrease(
        path,
        "requests_per_second",
        before.requestsPerSecond(),
        after.requestsPerSecond(),
        unlimitedRate);
    checkLimitDecrease(
        path,
        "tokens_per_second",
        before.tokensPerSecond(),
        after.tokensPerSecond(),
        unlimitedRate);
    checkLimitDecrease(
        path, "concurrent", before.concurrent(), after.concurrent(), AccountLimits.MAX_CONCURRENT);
  }

  private void checkLimitDecrease(
      String path, String key, double before, double after, double unlimited) {
    if (after < before) {
      addLowered(
          path, key, before >= unlimited ? UNLIMITED : formatNumber(before), formatNumber(after));
    }
  }

  private void checkDecrease(String path, String key, double before, double after) {
    checkLimitDecrease(path, key, before, after, Double.POSITIVE_INFINITY);
  }

  private void checkIncrease(String path, String key, Duration before, Duration after) {
    if (after.compareTo(before) > 0) {
      addLowered(path, key, formatMillis(before), formatMillis(after));
    }
  }

  private void checkDisabled(String path, String key, boolean before, boolean after) {
    if (before && !after) {
      addLowered(path, key, "true", "false");
    }
  }

  private void addLowered(String path, String key, String before, String after) {
    lowered.add(new LoweredGuarantee(SettingsKey.child(path, key), before, after));
  }

  private static String formatTier(Tier tier) {
    return tier.name() + " (rank " + tier.rank() + ")";
  }

  private static String classNames(AccountSpec account) {
    return account.classes().stream()
        .map(ClassId::value)
        .sorted()
        .collect(Collectors.joining(", "));
  }

  private static String formatMillis(Duration d) {
    return d.toMillis() + "ms";
  }

  private static String formatNumber(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }
}
