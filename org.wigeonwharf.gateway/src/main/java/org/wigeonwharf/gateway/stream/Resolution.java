package org.wigeonwharf.gateway.stream;

import org.jspecify.annotations.Nullable;

/**
 * States what is known of the software version that a stream has to continue at.
 *
 * @param source how that is known, or why it is not
 * @param softwareVersion the software version, or null if the stream may not be continued at any or
 *     may be continued at all of them, depending on the source
 */
public record Resolution(Source source, @Nullable String softwareVersion) {
  /** How the software version of a stream is known, or why it is not. */
  public enum Source {
    /** A router has forwarded the stream. */
    MEMORY("memory"),
    /** Only one software version has served since the stream can have begun. */
    HISTORY("history"),
    /** Servers of other services wrote all events, so that any version may continue the stream. */
    OTHER_SERVICE("other-service"),
    /** Several software versions have served since the stream can have begun, or none. */
    SEVERAL_VERSIONS("several-versions"),
    /** Servers of another software version may have left without this router's knowledge. */
    INCOMPLETE_HISTORY("incomplete-history"),
    /**
     * Servers of another software version may have been published that this router doesn't know.
     */
    UNCONFIRMED("unconfirmed");

    private final String label;

    Source(String label) {
      this.label = label;
    }

    private boolean isKnown() {
      return this == MEMORY || this == HISTORY || this == OTHER_SERVICE;
    }

    /** Returns the name for logs and metrics. */
    public String label() {
      return label;
    }
  }

  /** Tells whether the stream may be continued at some server. */
  public boolean isKnown() {
    return source.isKnown();
  }
}
