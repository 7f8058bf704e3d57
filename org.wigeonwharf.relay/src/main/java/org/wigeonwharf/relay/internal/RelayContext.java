package org.wigeonwharf.relay.internal;

import org.eclipse.jetty.client.HttpClient;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.relay.RelayLimits;
import org.wigeonwharf.relay.RelayMetrics;
import org.wigeonwharf.schedule.SlotSource;

/**
 * A RelayContext is what all requests of one relay share.
 *
 * @param slots where leases come from
 * @param pooledClient client with kept-alive connections, for repeatable work
 * @param singleUseClient client that opens a connection per request, for work that must run at most
 *     once
 * @param clock the process's clock
 * @param limits bounds on size, number and time
 * @param metrics the relay's metrics
 * @param retryBudgets retry budgets by service
 */
public record RelayContext(
    SlotSource slots,
    HttpClient pooledClient,
    HttpClient singleUseClient,
    Clock clock,
    RelayLimits limits,
    RelayMetrics metrics,
    RetryBudgets retryBudgets) {}
