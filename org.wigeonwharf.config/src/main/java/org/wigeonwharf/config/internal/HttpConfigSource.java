package org.wigeonwharf.config.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonwharf.config.ConfigSource;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.SettingsFolder;
import org.wigeonwharf.platform.PlatformClient;

/** Reads the platform's configuration service over HTTP by long polling. */
public final class HttpConfigSource implements ConfigSource {
  // Added to the long poll's wait, so that an answer sent at its end still arrives in time.
  private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(2);

  private final PlatformClient platform;

  /**
   * Creates a source.
   *
   * @param platform HTTP client of the configuration service
   */
  public HttpConfigSource(PlatformClient platform) {
    this.platform = platform;
  }

  @Override
  public Optional<Publication> watch(long heldRevision, Duration maxWait)
      throws IOException, InterruptedException {
    String path = "/v1/config?after=%d&wait_ms=%d".formatted(heldRevision, maxWait.toMillis());
    Optional<JsonNode> document = platform.get(path, maxWait.plus(RESPONSE_MARGIN));
    return document.isEmpty() ? Optional.empty() : Optional.of(parse(document.get()));
  }

  private static Publication parse(JsonNode root) throws IOException {
    JsonNode revision = root.path("revision");
    JsonNode fileNodes = root.path("files");
    if (!revision.isIntegralNumber() || !fileNodes.isArray()) {
      throw new IOException("configuration answer lacks an integer 'revision' or an array 'files'");
    }
    List<SettingsFile> files = new ArrayList<>();
    for (JsonNode f : fileNodes) {
      if (!f.path("name").isTextual() || !f.path("content").isTextual()) {
        throw new IOException("configuration answer has a file without a text 'name' or 'content'");
      }
      String name = f.get("name").textValue();
      if (name.endsWith(SettingsFolder.SUFFIX)) {
        files.add(new SettingsFile(name, f.get("content").textValue()));
      }
    }
    files.sort(SettingsFolder.MERGE_ORDER);
    return new Publication(revision.longValue(), files);
  }
}
