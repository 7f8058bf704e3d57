package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;

/**
 * Configures logging: JSON lines on standard output, written by a separate thread.
 *
 * <p>Logging is configured in code because an XML file took a sixth of a router's start time.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_TOP_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {
  /** Holds one to two seconds of a busy router's output; lines beyond that are dropped. */
  private static final int QUEUE_CAPACITY_LINES = 2_048;

  /** Field name that makes the encoder omit a field. */
  private static final String IGNORED_FIELD = "[ignore]";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
    context.getLogger("io.netty").setLevel(Level.WARN);
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(createAsyncAppender(context, createConsoleAppender(context)));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static ConsoleAppender<ILoggingEvent> createConsoleAppender(LoggerContext context) {
    LogstashFieldNames names = new LogstashFieldNames();
    names.setVersion(IGNORED_FIELD);
    names.setLevelValue(IGNORED_FIELD);
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setFieldNames(names);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("STDOUT");
    console.setEncoder(encoder);
    console.start();
    return console;
  }

  /** Creates an appender that never blocks: a stalled log reader must not stall requests. */
  private static AsyncAppender createAsyncAppender(
      LoggerContext context, ConsoleAppender<ILoggingEvent> console) {
    AsyncAppender async = new BoundedLogAppender();
    async.setContext(context);
    async.setName("ASYNC");
    async.setQueueSize(QUEUE_CAPACITY_LINES);
    async.setDiscardingThreshold(0);
    async.setNeverBlock(true);
    async.addAppender(console);
    async.start();
    return async;
  }
}
