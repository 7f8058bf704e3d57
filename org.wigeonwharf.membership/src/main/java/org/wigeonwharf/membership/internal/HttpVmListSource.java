package org.wigeonwharf.membership.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wigeonwharf.membership.EntryVm;
import org.wigeonwharf.membership.VmListSource;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.platform.PlatformClient;

/** Reads the VM list from the platform over HTTP. */
public final class HttpVmListSource implements VmListSource {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String VM_LIST_PATH = "/v1/vms";
  private static final String LEAVING_STATE = "leaving";

  private final PlatformClient platform;

  /**
   * Creates a source.
   *
   * @param platform the client of the service that serves the VM list
   */
  public HttpVmListSource(PlatformClient platform) {
    this.platform = platform;
  }

  @Override
  public List<EntryVm> read() throws IOException, InterruptedException {
    JsonNode list =
        platform
            .get(VM_LIST_PATH, TIMEOUT)
            .orElseThrow(() -> new IOException("platform returned no VM list"))
            .path("vms");
    if (!list.isArray()) {
      throw new IOException("platform response is not a VM list");
    }
    List<EntryVm> vms = new ArrayList<>();
    for (JsonNode row : list) {
      vms.add(parse(row));
    }
    return vms;
  }

  private static EntryVm parse(JsonNode row) throws IOException {
    try {
      return new EntryVm(
          row.path("name").asText(),
          new FailureDomain(row.path("domain").asText()),
          Addresses.parse(row.path("peer").asText()),
          row.path("state").asText().equals(LEAVING_STATE));
    } catch (IllegalArgumentException e) {
      throw new IOException("VM list contains a malformed entry", e);
    }
  }
}
