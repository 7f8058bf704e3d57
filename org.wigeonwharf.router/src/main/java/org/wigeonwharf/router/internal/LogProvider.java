package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Binds SLF4J to Logback with this program's configuration, if the system property {@code
 * slf4j.provider} names it. The service search that it replaces reads all jars of the class path.
 */
public final class LogProvider implements SLF4JServiceProvider {
  /** SLF4J releases of this series are compatible with each other. */
  private static final String API_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnostics = new LogbackMDCAdapter();

  @Override
  public void initialize() {
    context.setName("default");
    context.setMDCAdapter(diagnostics);
    new LogConfigurator().configure(context);
    context.start();
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return diagnostics;
  }

  @Override
  public String getRequestedApiVersion() {
    return API_VERSION;
  }
}
