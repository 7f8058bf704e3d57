package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Tier;

/** Validates settings files and converts them into a typed configuration. */
public final class ConfigParser {
  private static final Duration MAX_DURATION = Duration.ofHours(24);
  private static final Duration DEFAULT_FIRST_TOKEN_TARGET = Duration.ofSeconds(5);
  private static final Duration DEFAULT_TOKEN_GAP_TARGET = Duration.ofMillis(200);
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final int DEFAULT_SHARD_SIZE = 32;
  private static final int DEFAULT_SERVICE_WAITING_PLACES = 1_000;
  private static final int DEFAULT_CLASS_WAITING_PLACES = 1;
  private static final int DEFAULT_ESTIMATED_TOKENS = 200;
  private static final int DEFAULT_SLOTS = 4;
  private static final int MAX_WAITING_PLACES = 100_000;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_RANK = 15;
  private static final int NO_RANK = -1;
  private static final int MAX_ESTIMATED_TOKENS = 1_000_000;
  private static final double DEFAULT_SHARE = 0.02;
  private static final double MAX_SHARE_SUM = 0.9;
  private static final double MIN_WEIGHT = 0.001;
  private static final double MAX_WEIGHT = 1_000;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String STATE_IN = "in";
  private static final String STATE_LEAVING = "leaving";

  private final List<Fault> faults = new ArrayList<>();
  private final Map<String, Tier> tiers = new LinkedHashMap<>();
  private final Map<Integer, Tier> tiersByRank = new HashMap<>();
  private final Map<ClassId, ClassSpec> classes = new LinkedHashMap<>();
  private final Map<ServiceId, ServiceSpec> services = new LinkedHashMap<>();
  private final Map<AccountId, AccountSpec> accounts = new LinkedHashMap<>();
  private final Map<String, AccountId> tokenOwners = new HashMap<>();

  private ConfigParser() {}

  /**
   * Merges and validates settings files.
   *
   * @param files the files in merge order
   * @return the configuration, or all faults found
   */
  public static Either<List<Fault>, PublishedConfig> parse(List<SettingsFile> files) {
    List<Fault> faults = PublicationLimits.check(files);
    if (!faults.isEmpty()) {
      return Either.left(faults);
    }
    return MergedSettings.merge(files).flatMap(m -> new ConfigParser().read(m));
  }

  private Either<List<Fault>, PublishedConfig> read(MergedSettings settings) {
    SectionReader root = SectionReader.root(settings, faults);
    root.sections("tiers").forEach(this::readTier);
    root.sections("classes").forEach(this::readClass);
    root.sections("services").forEach(this::readService);
    root.sections("accounts").forEach(this::readAccount);
    root.reportUnknownKeys();
    checkShares(root);
    if (!faults.isEmpty()) {
      return Either.left(List.copyOf(faults));
    }
    return Either.right(new PublishedConfig(tiers, classes, services, accounts));
  }

  private void readTier(String name, SectionReader s) {
    int rank = s.integer("rank", NO_RANK, 0, MAX_RANK);
    if (!s.has("rank")) {
      s.addFault("rank", "is required");
    }
    Tier sameRankTier = tiersByRank.putIfAbsent(rank, new Tier(name, Math.max(0, rank)));
    if (sameRankTier != null && rank != NO_RANK) {
      s.addFault("rank", "tier '" + sameRankTier.name() + "' has the same rank");
    }
    tiers.put(name, new Tier(name, Math.max(0, rank)));
    s.reportUnknownKeys();
  }

  private void readClass(String name, SectionReader s) {
    String tierName = s.requireText("tier");
    Tier tier = tiers.get(tierName);
    if (tier == null && !tierName.isEmpty()) {
      s.addFault("tier", "no tier is named '" + tierName + "'");
    }
    ClassId id = new ClassId(name);
    classes.put(
        id,
        new ClassSpec(
            id,
            tier == null ? new Tier("none", 0) : tier,
            s.duration("first_token_target", DEFAULT_FIRST_TOKEN_TARGET, MAX_DURATION),
            s.duration("token_gap_target", DEFAULT_TOKEN_GAP_TARGET, MAX_DURATION),
            s.duration("deadline", DEFAULT_DEADLINE, MAX_DURATION),
            s.decimal("share", DEFAULT_SHARE, 0, MAX_SHARE_SUM),
            s.integer("waiting_places", DEFAULT_CLASS_WAITING_PLACES, 1, MAX_WAITING_PLACES),
            s.integer("estimated_tokens", DEFAULT_ESTIMATED_TOKENS, 1, MAX_ESTIMATED_TOKENS),
            s.flag("spill", false)));
    s.reportUnknownKeys();
  }

  private void checkShares(SectionReader root) {
    double sum = classes.values().stream().mapToDouble(ClassSpec::share).sum();
    if (sum > MAX_SHARE_SUM) {
      root.addFault(
          "classes", "the shares add up to " + sum + ", expected at most " + MAX_SHARE_SUM);
    }
  }

  private void readService(String name, SectionReader s) {
    ServiceId id = new ServiceId(name);
    ServiceKind kind = readKind(s);
    Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
    s.sections("servers").forEach((n, r) -> servers.put(new ServerId(n), readServer(id, n, r)));
    List<PathRule> paths = new ArrayList<>();
    s.sections("paths").forEach((n, r) -> paths.add(readPathRule(n, r)));
    services.put(
        id,
        new ServiceSpec(
            id,
            kind,
            s.integer("shard_size", DEFAULT_SHARD_SIZE, 1, MAX_SLOTS),
            Set.copyOf(s.integers("not_started_statuses", 400, 599)),
            s.flag("resumable", false),
            s.integer("waiting_places", DEFAULT_SERVICE_WAITING_PLACES, 1, MAX_WAITING_PLACES),
            List.copyOf(paths),
            servers));
    s.reportUnknownKeys();
  }

  private static ServiceKind readKind(SectionReader s) {
    String text = s.requireText("kind");
    for (ServiceKind k : ServiceKind.values()) {
      if (k.name().toLowerCase(Locale.ROOT).equals(text)) {
        return k;
      }
    }
    if (!text.isEmpty()) {
      s.addFault("kind", "expected \"model\" or \"plain\", got \"" + text + "\"");
    }
    return ServiceKind.PLAIN;
  }

  private static BackendServer readServer(ServiceId service, String name, SectionReader s) {
    InetSocketAddress address = s.address("address", 1);
    String domain = s.requireText("domain");
    String state = s.text("state", STATE_IN);
    if (!state.equals(STATE_IN) && !state.equals(STATE_LEAVING)) {
      s.addFault("state", "expected \"in\" or \"leaving\", got \"" + state + "\"");
    }
    BackendServer server =
        new BackendServer(
            new ServerId(name),
            service,
            new FailureDomain(domain.isBlank() ? "none" : domain),
            address,
            s.integer("slots", DEFAULT_SLOTS, 1, MAX_SLOTS),
            state.equals(STATE_LEAVING));
    s.reportUnknownKeys();
    return server;
  }

  private PathRule readPathRule(String name, SectionReader s) {
    String prefix = s.text("prefix", "/");
    if (!prefix.startsWith("/")) {
      s.addFault("prefix", "expected a path that starts with '/'");
    }
    PathRule rule =
        new PathRule(
            name,
            new LinkedHashSet<>(s.texts("methods")),
            prefix,
            s.has("class") ? resolveClass(s, "class", s.requireText("class")) : null,
            s.flag("repeatable", true));
    s.reportUnknownKeys();
    return rule;
  }

  private @Nullable ClassId resolveClass(SectionReader s, String key, String name) {
    if (name.isBlank()) {
      return null;
    }
    ClassId id = new ClassId(name);
    if (!classes.containsKey(id)) {
      s.addFault(key, "no class is named '" + name + "'");
    }
    return id;
  }

  private void readAccount(String name, SectionReader s) {
    AccountId id = new AccountId(name);
    Set<ClassId> allowed = new LinkedHashSet<>();
    for (String c : s.texts("classes")) {
      ClassId ref = resolveClass(s, "classes", c);
      if (ref != null) {
        allowed.add(ref);
      }
    }
    ClassId defaultClass = resolveClass(s, "default_class", s.requireText("default_class"));
    if (defaultClass != null && !allowed.contains(defaultClass)) {
      s.addFault("default_class", "is not among the account's classes");
    }
    accounts.put(
        id,
        new AccountSpec(
            id,
            readTokenHashes(id, s),
            allowed,
            defaultClass == null ? new ClassId("none") : defaultClass,
            s.flag("repeatable", true),
            s.decimal("weight", 1, MIN_WEIGHT, MAX_WEIGHT),
            readLimits(s.section("limits"))));
    s.reportUnknownKeys();
  }

  private Set<String> readTokenHashes(AccountId account, SectionReader s) {
    Set<String> hashes = new LinkedHashSet<>();
    for (String h : s.texts("token_sha256")) {
      AccountId owner = tokenOwners.putIfAbsent(h, account);
      if (!SHA256.matcher(h).matches()) {
        s.addFault("token_sha256", "expected 64 lower-case hex digits");
      } else if (owner != null && !owner.equals(account)) {
        s.addFault("token_sha256", "client account '" + owner + "' has the same token");
      }
      hashes.add(h);
    }
    return hashes;
  }

  private static AccountLimits readLimits(SectionReader s) {
    double max = AccountLimits.MAX_RATE;
    AccountLimits limits =
        new AccountLimits(
            s.decimal("requests_per_second", max, 0, max),
            s.decimal("tokens_per_second", max, 0, max),
            s.integer("concurrent", AccountLimits.MAX_CONCURRENT, 0, AccountLimits.MAX_CONCURRENT));
    s.reportUnknownKeys();
    return limits;
  }
}
