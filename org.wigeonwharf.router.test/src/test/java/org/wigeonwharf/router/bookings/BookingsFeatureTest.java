package org.wigeonwharf.router.bookings;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of {@code bookings.feature}. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("org/wigeonwharf/router/bookings/bookings.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.wigeonwharf.router.bookings")
class BookingsFeatureTest {}
