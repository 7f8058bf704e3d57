package org.wigeonwharf.router.bookings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.AfterAll;
import io.cucumber.java.BeforeAll;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Steps of the bookings feature; its scenarios share one fleet and run in their order. */
public class BookingSteps {
  private static final long ANSWER_TIMEOUT_SECONDS = 30;
  private static final String CIVIC_HALL = "demo-civic-hall";
  private static final String FORGED_KEY = "dm0x.1.1.1.00112233445566778899aabbccddeeff";

  private static BookingFleet fleet;
  private static String stoppedRouterKey;

  private final List<HttpResponse<String>> answers = new ArrayList<>();
  private String key;

  /** Starts the fleet. */
  @BeforeAll
  public static void startFleet() throws Exception {
    fleet = new BookingFleet();
    stoppedRouterKey = fleet.issueKey("vm1");
  }

  /** Ends the fleet. */
  @AfterAll
  public static void stopFleet() {
    fleet.close();
  }

  /** Checks that the fleet has these routers. */
  @Given("the routers {string} and {string} and the booking service are running")
  public void checkRoutersRunning(String one, String other) {
    fleet.router(one);
    fleet.router(other);
  }

  /** Issues a key to the manager. */
  @Given("a manager has a key from {string}")
  public void issueKey(String router) throws Exception {
    key = fleet.issueKey(router);
  }

  /** Issues a key to another client account. */
  @Given("the civic hall has a key from {string}")
  public void issueKeyToOtherAccount(String router) throws Exception {
    key = fleet.issueKey(router, CIVIC_HALL);
  }

  /** Takes a well-formed key without a proof. */
  @Given("the manager makes up a key")
  public void useForgedKey() {
    key = FORGED_KEY;
  }

  /** Takes a key issued before the router stopped. */
  @Given("a manager has a key of the stopped {string}")
  public void useKeyOfStoppedRouter(String router) throws Exception {
    assertEquals(0, Math.min(0, fleet.router(router).awaitExit(ANSWER_TIMEOUT_SECONDS)));
    key = stoppedRouterKey;
  }

  /** Makes the booking service answer late. */
  @Given("bookings take {int} seconds")
  public void delayBookings(int seconds) throws Exception {
    fleet.delayBookings(TimeUnit.SECONDS.toMillis(seconds));
  }

  /** Books at one router. */
  @When("the manager books {string} at {string}")
  public void book(String slot, String router) throws Exception {
    answers.add(fleet.book(router, key, slot));
  }

  /** Books at two routers before either answers. */
  @When("the manager books {string} at {string} and at {string} at the same time")
  public void bookAtTwoRouters(String slot, String one, String other) throws Exception {
    var first = fleet.startBooking(one, key, slot);
    var second = fleet.startBooking(other, key, slot);
    answers.add(first.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    answers.add(second.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Stops a router between the action and the answer. */
  @When("the manager books {string} at {string} and {string} is stopped after the booking was made")
  public void bookAndStopRouter(String slot, String router, String stopped) throws Exception {
    CompletableFuture<HttpResponse<String>> answer = fleet.startBooking(router, key, slot);
    fleet.awaitBooking(slot);
    fleet.router(stopped).terminate();
    answers.add(answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Compares the confirmations. */
  @Then("both answers confirm the same booking")
  public void checkSameBooking() {
    assertEquals(List.of(201, 201), answers.stream().map(HttpResponse::statusCode).toList());
    assertEquals(answers.get(0).body(), answers.get(1).body());
  }

  /** Checks status and verdict. */
  @Then("the last answer is {int} and says {string}")
  public void checkLastAnswer(int status, String verdict) {
    HttpResponse<String> last = answers.get(answers.size() - 1);
    assertEquals(status, last.statusCode(), last.body());
    assertEquals(verdict, BookingFleet.verdict(last));
  }

  /** Asks the booking service's record. */
  @Then("{string} is booked once")
  public void checkBookedOnce(String slot) throws Exception {
    assertEquals(1, fleet.countBookings(slot));
  }

  /** Asks the booking service's record. */
  @Then("{string} is not booked")
  public void checkNotBooked(String slot) throws Exception {
    assertEquals(0, fleet.countBookings(slot));
  }
}
