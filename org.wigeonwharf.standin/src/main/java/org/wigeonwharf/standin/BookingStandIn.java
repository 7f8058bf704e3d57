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
 * A BookingStandIn is a booking service that records every action, so that doubles can be counted.
 *
 * <p>{@code POST /bookings} books what the body says; {@code GET /bookings} reads back. {@code POST
 * /control/cut?on=B} makes it act and then drop the connection; {@code /control/delay?ms=N} makes
 * it slow; {@code GET /control/actions} lists the actions.
 */
public final class BookingStandIn extends StandInServer {
  private final ObjectMapper mapper = new ObjectMapper();
  private final List<String> actions = new ArrayList<>();
  private volatile boolean droppingConnections;
  private volatile long delayMillis;

  /**
   * Creates a service without bookings.
   *
   * @param bindAddress where to listen; port 0 lets the system choose
   */
  public BookingStandIn(InetSocketAddress bindAddress) {
    super(bindAddress);
  }

  /**
   * Returns the bodies of all actions, in the order they happened.
   *
   * @return a copy
   */
  public synchronized List<String> actions() {
    return List.copyOf(actions);
  }

  /**
   * Makes the service act and then drop the connection without an answer.
   *
   * @param drop true to drop
   */
  public void setDropConnections(boolean drop) {
    this.droppingConnections = drop;
  }

  /**
   * Makes the service wait after the action, before it answers.
   *
   * @param millis the wait
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
