package org.wigeonwharf.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Simulates a booking service and records every booking, so that a test can count duplicates.
 *
 * <p>{@code POST /bookings} books the request body; {@code GET /bookings} and {@code GET
 * /control/actions} list the bookings. After {@code POST /control/cut?on=true} the service books
 * and then drops the connection without a response; {@code /control/delay?ms=N} delays each
 * response by N milliseconds after the booking.
 */
public final class BookingStandIn extends StandInServer {
  private final ObjectMapper mapper = new ObjectMapper();
  private final List<String> actions = new ArrayList<>();
  private volatile boolean droppingConnections;
  private volatile long delayMillis;

  /**
   * Creates a service with no bookings.
   *
   * @param bindAddress listen address; port 0 selects a free port
   */
  public BookingStandIn(InetSocketAddress bindAddress) {
    super(bindAddress);
  }

  /**
   * Returns the request bodies of all bookings, in the order they were made.
   *
   * @return an immutable copy
   */
  public synchronized List<String> actions() {
    return List.copyOf(actions);
  }

  /**
   * Sets whether the service drops the connection after a booking instead of sending a response.
   *
   * @param drop true to drop connections
   */
  public void setDropConnections(boolean drop) {
    this.droppingConnections = drop;
  }

  /**
   * Sets the delay between a booking and its response.
   *
   * @param millis the delay in milliseconds
   */
  public void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  @Override
  void serve(Request request, Response response, Callback callback) throws Exception {
    switch (path(request)) {
      case "/bookings" -> handleBookings(request, response, callback);
      case "/control/actions" -> sendJson(response, callback, 200, actionsAsJson());
      case "/control/cut" -> {
        setDropConnections(Boolean.parseBoolean(parameter(request, "on", "true")));
        sendJson(response, callback, 200, "{}");
      }
      case "/control/delay" -> {
        setDelayMillis(longParameter(request, "ms", 0));
        sendJson(response, callback, 200, "{}");
      }
      default -> sendJson(response, callback, 404, "{}");
    }
  }

  private void handleBookings(Request request, Response response, Callback callback)
      throws Exception {
    if (request.getMethod().equals("GET")) {
      sendJson(response, callback, 200, actionsAsJson());
      return;
    }
    int number = recordAction(readBody(request));
    if (delayMillis > 0) {
      Thread.sleep(delayMillis);
    }
    if (droppingConnections) {
      dropConnection(request, callback);
      return;
    }
    sendJson(response, callback, 201, "{\"booking\":" + number + "}");
  }

  private synchronized int recordAction(String action) {
    actions.add(action);
    return actions.size();
  }

  private synchronized String actionsAsJson() throws JsonProcessingException {
    return mapper.writeValueAsString(actions);
  }
}
