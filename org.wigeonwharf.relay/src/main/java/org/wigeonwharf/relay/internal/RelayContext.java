package org.wigeonwharf.relay.internal;

import org.eclipse.jetty.client.HttpClient;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.relay.RelayLimits;
import org.wigeonwharf.relay.RelayMetrics;
import org.wigeonwharf.schedule.SlotSource;

/**
 * The objects shared by all requests of one relay.
 *
 * @param slots grants the leases
 * @param pooledClient client with persistent connections, for repeatable requests
 * @param singleUseClient client that opens a connection per request, for requests that must run at
 *     most once
 * @param clock the clock of this process
 * @param limits the limits and timeouts
 * @param metrics the metrics of the relay
 * @param retryBudgets the retry budgets by service
 */
public record RelayContext(
    SlotSource slots,
    HttpClient pooledClient,
    HttpClient singleUseClient,
    Clock clock,
    RelayLimits limits,
    RelayMetrics metrics,
    RetryBudgets retryBudgets) {}
