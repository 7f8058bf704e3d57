import java.util.ArrayList;
import java.util.List;

/** Builds the JSON text of a configuration. */
final class Config {
  private final List<String> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();
  private int maxBodyBytes = 4_194_304;

  Config route(String prefix, String kind, String service, String more) {
    routes.add(
        ("{\"name\":\"r%d\",\"host\":\"app.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
                + "\"slo-ms\":250,\"priority\":2,\"service\":\"%s\",\"public\":false%s}")
            .formatted(routes.size(), prefix, kind, service, more));
    return this;
  }

  Config service(String name) {
    services.add(
        "{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}"
            .formatted(name));
    return this;
  }

  Config tenant(String name, String key) {
    tenants.add(
        "{\"name\":\"%s\",\"api-keys\":[\"%s\"],\"priority\":1}".formatted(name, key));
    return this;
  }

  Config maxBodyBytes(int bytes) {
    maxBodyBytes = bytes;
    return this;
  }

  String json(int version) {
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":%d,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[%s]}")
        .formatted(
            version,
            String.join(",", routes),
            String.join(",", services),
            maxBodyBytes,
            String.join(",", tenants));
  }
}
