package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
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
    root.addAppender(createBoundedAppender(context, createOutput(context)));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static OutputStreamAppender<ILoggingEvent> createOutput(LoggerContext context) {
    LogstashFieldNames names = new LogstashFieldNames();
    names.setVersion(IGNORED_FIELD);
    names.setLevelValue(IGNORED_FIELD);
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setFieldNames(names);
    // The search reads all jars of the class path; no field needs a module.
    encoder.setFindAndRegisterJacksonModules(false);
    encoder.start();
    OutputStreamAppender<ILoggingEvent> output = new OutputStreamAppender<>();
    output.setContext(context);
    output.setName("STDOUT");
    output.setEncoder(encoder);
    output.setOutputStream(System.out);
    output.start();
    return output;
  }

  /** Creates an appender that never blocks: a stalled log reader must not stall requests. */
  private static BoundedLogAppender createBoundedAppender(
      LoggerContext context, OutputStreamAppender<ILoggingEvent> output) {
    BoundedLogAppender bounded = new BoundedLogAppender(output, QUEUE_CAPACITY_LINES);
    bounded.setContext(context);
    bounded.setName("ASYNC");
    bounded.start();
    return bounded;
  }
}
