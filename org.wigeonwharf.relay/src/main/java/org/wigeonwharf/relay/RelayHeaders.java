package org.wigeonwharf.relay;

/** Defines the HTTP headers that the router reads and writes. */
public final class RelayHeaders {
  /** Response: the request's id, for logs and support. */
  public static final String REQUEST_ID = "Wigeonwharf-Request-Id";

  /** Request: the requested service class. Response: the class used. */
  public static final String SERVICE_CLASS = "Wigeonwharf-Class";

  /** Request: the requested model service. */
  public static final String SERVICE = "Wigeonwharf-Service";

  /** Request: {@code false} marks a request that must run at most once. */
  public static final String REPEATABLE = "Wigeonwharf-Repeatable";

  /** Response: the backend server that responded. */
  public static final String SERVER = "Wigeonwharf-Server";

  /** Response: whether the request may have run. */
  public static final String VERDICT = "Wigeonwharf-Verdict";

  /** Request: a key issued by a router, for safe retries of unrepeatable requests. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Request: {@code true} asks for a key; an unrepeatable request without one is refused. */
  public static final String REQUIRE_KEY = "Wigeonwharf-Require-Key";

  private RelayHeaders() {}
}
