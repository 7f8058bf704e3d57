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
  private final ObjectMapper json = new ObjectMapper();
  private final List<String> actions = new ArrayList<>();
  private volatile boolean cutting;
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
   * @param cutting true to drop
   */
  public void setCutting(boolean cutting) {
    this.cutting = cutting;
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
  void answer(Request request, Response response, Callback callback) throws Exception {
    switch (path(request)) {
      case "/bookings" -> bookings(request, response, callback);
      case "/control/actions" -> json(response, callback, 200, allActions());
      case "/control/cut" -> {
        setCutting(Boolean.parseBoolean(text(request, "on", "true")));
        json(response, callback, 200, "{}");
      }
      case "/control/delay" -> {
        setDelayMillis(number(request, "ms", 0));
        json(response, callback, 200, "{}");
      }
      default -> json(response, callback, 404, "{}");
    }
  }

  private void bookings(Request request, Response response, Callback callback) throws Exception {
    if (request.getMethod().equals("GET")) {
      json(response, callback, 200, allActions());
      return;
    }
    int number = act(body(request));
    if (delayMillis > 0) {
      Thread.sleep(delayMillis);
    }
    if (cutting) {
      drop(request, callback);
      return;
    }
    json(response, callback, 201, "{\"booking\":" + number + "}");
  }

  private synchronized int act(String what) {
    actions.add(what);
    return actions.size();
  }

  private synchronized String allActions() throws JsonProcessingException {
    return json.writeValueAsString(actions);
  }
}
