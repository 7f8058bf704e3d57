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

/** Implements the steps of the bookings feature; its scenarios share one fleet and run in order. */
public class BookingSteps {
  private static final long ANSWER_TIMEOUT_SECONDS = 30;
  private static final String CIVIC_HALL = "demo-civic-hall";
  private static final String FORGED_KEY = "dm0x.1.1.1.00112233445566778899aabbccddeeff";

  private static BookingFleet fleet;
  private static String stoppedRouterKey;

  private final List<HttpResponse<String>> answers = new ArrayList<>();
  private String key;

  /** Starts the fleet and gets a key from the router that a later scenario stops. */
  @BeforeAll
  public static void startFleet() throws Exception {
    fleet = new BookingFleet();
    stoppedRouterKey = fleet.issueKey("vm1");
  }

  /** Stops the fleet. */
  @AfterAll
  public static void stopFleet() {
    fleet.close();
  }

  /** Checks that the fleet has the two routers. */
  @Given("the routers {string} and {string} and the booking service are running")
  public void checkRoutersRunning(String one, String other) {
    fleet.router(one);
    fleet.router(other);
  }

  /** Gets a key for the manager. */
  @Given("a manager has a key from {string}")
  public void issueKey(String router) throws Exception {
    key = fleet.issueKey(router);
  }

  /** Gets a key for another client account. */
  @Given("the civic hall has a key from {string}")
  public void issueKeyToOtherAccount(String router) throws Exception {
    key = fleet.issueKey(router, CIVIC_HALL);
  }

  /** Uses a well-formed key that no router has issued. */
  @Given("the manager makes up a key")
  public void useForgedKey() {
    key = FORGED_KEY;
  }

  /** Uses a key that the router issued before it stopped. */
  @Given("a manager has a key of the stopped {string}")
  public void useKeyOfStoppedRouter(String router) throws Exception {
    assertEquals(0, Math.min(0, fleet.router(router).awaitExit(ANSWER_TIMEOUT_SECONDS)));
    key = stoppedRouterKey;
  }

  /** Delays the booking service's answers. */
  @Given("bookings take {int} seconds")
  public void delayBookings(int seconds) throws Exception {
    fleet.delayBookings(TimeUnit.SECONDS.toMillis(seconds));
  }

  /** Sends the booking to one router. */
  @When("the manager books {string} at {string}")
  public void book(String slot, String router) throws Exception {
    answers.add(fleet.book(router, key, slot));
  }

  /** Sends the booking to two routers before either answers. */
  @When("the manager books {string} at {string} and at {string} at the same time")
  public void bookAtTwoRouters(String slot, String one, String other) throws Exception {
    var first = fleet.startBooking(one, key, slot);
    var second = fleet.startBooking(other, key, slot);
    answers.add(first.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    answers.add(second.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Stops a router after the booking was made and before the answer arrives. */
  @When("the manager books {string} at {string} and {string} is stopped after the booking was made")
  public void bookAndStopRouter(String slot, String router, String stopped) throws Exception {
    CompletableFuture<HttpResponse<String>> answer = fleet.startBooking(router, key, slot);
    fleet.awaitBooking(slot);
    fleet.router(stopped).terminate();
    answers.add(answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Checks that both answers have the same confirmation. */
  @Then("both answers confirm the same booking")
  public void checkSameBooking() {
    assertEquals(List.of(201, 201), answers.stream().map(HttpResponse::statusCode).toList());
    assertEquals(answers.get(0).body(), answers.get(1).body());
  }

  /** Checks the status and verdict of the last answer. */
  @Then("the last answer is {int} and says {string}")
  public void checkLastAnswer(int status, String verdict) {
    HttpResponse<String> last = answers.get(answers.size() - 1);
    assertEquals(status, last.statusCode(), last.body());
    assertEquals(verdict, BookingFleet.verdict(last));
  }

  /** Checks in the booking service's record that the slot was booked once. */
  @Then("{string} is booked once")
  public void checkBookedOnce(String slot) throws Exception {
    assertEquals(1, fleet.countBookings(slot));
  }

  /** Checks in the booking service's record that the slot was not booked. */
  @Then("{string} is not booked")
  public void checkNotBooked(String slot) throws Exception {
    assertEquals(0, fleet.countBookings(slot));
  }
}
