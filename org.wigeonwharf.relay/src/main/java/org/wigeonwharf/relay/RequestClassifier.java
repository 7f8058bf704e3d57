package org.wigeonwharf.relay;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.PathRule;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceKind;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServiceId;

/**
 * Determines a request's client account, service, class and repeatability.
 *
 * <p>The class comes from the header, else from the first matching path rule, else from the
 * account. A request is unrepeatable if the header or the path rule says so, or if there is neither
 * and the account says so. A header thus cannot override a path rule with which the operators mark
 * requests as unrepeatable.
 */
public final class RequestClassifier {
  /** Path of chat completions on model services. */
  public static final String CHAT_PATH = "/v1/chat/completions";

  /** Prefix of the paths of services that are named in the path. */
  public static final String SERVICES_PREFIX = "/v1/services/";

  private static final int NAME_AND_PATH_PARTS = 2;

  private final PublishedConfig config;
  private final CallerAuthenticator authenticator;

  /**
   * The parts of a request head that are needed to classify the request.
   *
   * @param method the HTTP method, upper case
   * @param path the decoded path
   * @param query the raw query, or null
   * @param authorization the Authorization header, or null
   * @param service the service header, or null
   * @param serviceClass the class header, or null
   * @param repeatable the repeatability header, or null
   */
  public record Head(
      String method,
      String path,
      @Nullable String query,
      @Nullable String authorization,
      @Nullable String service,
      @Nullable String serviceClass,
      @Nullable String repeatable) {}

  /**
   * Creates a classifier for a configuration.
   *
   * @param config the current configuration
   */
  public RequestClassifier(PublishedConfig config) {
    this.config = config;
    this.authenticator = new CallerAuthenticator(config);
  }

  /**
   * Classifies a request.
   *
   * @param head the request's head
   * @return its traits, or the problem to answer with
   */
  public Either<Problem, RequestTraits> classify(Head head) {
    Optional<AccountSpec> account = authenticator.authenticate(head.authorization());
    if (account.isEmpty()) {
      return problem(401, "unauthenticated", "The bearer token is missing or unknown.");
    }
    if (head.path().equals(CHAT_PATH)) {
      return findChatService(head)
          .flatMap(
              s -> createTraits(head, account.get(), s, withQuery(CHAT_PATH, head), CHAT_PATH));
    }
    if (head.path().startsWith(SERVICES_PREFIX)) {
      String[] parts =
          head.path().substring(SERVICES_PREFIX.length()).split("/", NAME_AND_PATH_PARTS);
      String servicePath = parts.length < NAME_AND_PATH_PARTS ? "/" : "/" + parts[1];
      return findService(parts[0])
          .flatMap(
              s -> createTraits(head, account.get(), s, withQuery(servicePath, head), servicePath));
    }
    return problem(404, "unknown-path", "No such path.");
  }

  private static String withQuery(String path, Head head) {
    return head.query() == null ? path : path + "?" + head.query();
  }

  private Either<Problem, ServiceSpec> findChatService(Head head) {
    if (!head.method().equals("POST")) {
      return problem(405, "method", "Chat completions take POST.");
    }
    if (head.service() != null) {
      return findService(head.service());
    }
    List<ServiceSpec> models =
        config.services().values().stream().filter(s -> s.kind() == ServiceKind.MODEL).toList();
    if (models.size() == 1) {
      return Either.right(models.get(0));
    }
    return problem(400, "service", "Name the service in the " + RelayHeaders.SERVICE + " header.");
  }

  private Either<Problem, ServiceSpec> findService(String name) {
    ServiceSpec s = name.isBlank() ? null : config.services().get(new ServiceId(name));
    return s == null ? problem(404, "unknown-service", "No such service.") : Either.right(s);
  }

  private Either<Problem, RequestTraits> createTraits(
      Head head, AccountSpec account, ServiceSpec service, String backendPath, String rulePath) {
    Optional<PathRule> rule =
        service.paths().stream().filter(p -> p.matches(head.method(), rulePath)).findFirst();
    ClassId requestedClass = requestedClass(head, rule, account);
    ClassSpec classSpec = config.classes().get(requestedClass);
    if (classSpec == null) {
      return problem(400, "unknown-class", "No such service class.");
    }
    if (!account.classes().contains(requestedClass)) {
      return problem(403, "class-not-allowed", "The client account may not use this class.");
    }
    String header = head.repeatable();
    if (header != null && !header.equals("true") && !header.equals("false")) {
      return problem(400, "repeatable", RelayHeaders.REPEATABLE + " takes true or false.");
    }
    boolean allowedByHeader = header == null || header.equals("true");
    boolean allowedByRule = rule.map(PathRule::repeatable).orElse(true);
    boolean allowedByAccount = header != null || rule.isPresent() || account.repeatable();
    return Either.right(
        new RequestTraits(
            account,
            service,
            classSpec,
            backendPath,
            allowedByHeader && allowedByRule && allowedByAccount));
  }

  private static ClassId requestedClass(Head head, Optional<PathRule> rule, AccountSpec account) {
    if (head.serviceClass() != null && !head.serviceClass().isBlank()) {
      return new ClassId(head.serviceClass());
    }
    ClassId byRule = rule.map(PathRule::serviceClass).orElse(null);
    return byRule != null ? byRule : account.defaultClass();
  }

  private static <T> Either<Problem, T> problem(int status, String reason, String detail) {
    return Either.left(Problem.badRequest(status, reason, detail));
  }
}
