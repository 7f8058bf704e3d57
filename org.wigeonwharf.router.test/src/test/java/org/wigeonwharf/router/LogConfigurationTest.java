package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

class LogConfigurationTest {
  @Test
  void linesNeverBlockTheThreadThatWritesThem() throws Exception {
    LoggerContext context = new LoggerContext();
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    configurator.doConfigure(Main.class.getResource("/logback.xml"));
    var appender = context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender("ASYNC");
    assertTrue(assertInstanceOf(AsyncAppender.class, appender).isNeverBlock());
    context.stop();
  }
}
