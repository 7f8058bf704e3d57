package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;

/**
 * Guards against partly applied or misread configurations, as a published document may be truncated
 * or have fields that are missing, unknown or of the wrong type.
 */
class ConfigurationDecoderTest {
  static final String VALID =
      """
      {"version":7,"routes":[
        {"name":"r1","host":"Host.Example","prefix":"/a/","kind":"streaming","timeout-ms":15000,
         "slo-ms":2000,"priority":2,"split":[{"service":"s1","weight":90},
         {"service":"s2","weight":10}],"max-attempts":1,"public":false,"sticky":true,
         "can-resume":false,"gap-aim-ms":800},
        {"name":"r2","host":"host.example","prefix":"/b/","kind":"streaming","timeout-ms":9000,
         "slo-ms":400,"priority":0,"service":"s1","max-attempts":2,"can-resume":true},
        {"name":"r3","host":"host.example","prefix":"/c/","kind":"safe","timeout-ms":2000,
         "service":"s2","public":true},
        {"name":"r4","host":"host.example","prefix":"/d/","kind":"keyed","timeout-ms":2000,
         "service":"s2"}],
       "services":[
        {"name":"s1","max-conns":620,"engine":{"slots":128,"kv-capacity":797615,
         "kv-token-bytes":18000,"link-mbps":180000.0}},
        {"name":"s2","max-conns":110,"cold-s":3.0,"cold-per-s":15}],
       "limits":{"max-header-bytes":16000,"max-body-bytes":4000000,"header-timeout-ms":3000,
         "idle-timeout-ms":15000},
       "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1},
         {"name":"t2","api-keys":["k3"]}]}
      """
          .strip();

  private final ConfigurationDecoder decoder = new ConfigurationDecoder(new ObjectMapper());

  private RouteTable decode(String text) throws IOException {
    return decoder.decode(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void decodesAllUsedFields() throws IOException {
    RouteTable t = decode(VALID);
    assertEquals(7, t.version());
    Route r1 = t.find("host.example", "/a/x");
    assertEquals(RequestKind.STREAM, r1.kind());
    assertEquals(15_000, r1.timeoutMillis());
    assertEquals(2_000, r1.objectiveMillis());
    assertEquals(800, r1.interTokenObjectiveMillis());
    assertEquals(2, r1.priority());
    assertEquals(2, r1.split().size());
    assertEquals(90, r1.split().get(0).weight());
    Route r2 = t.find("host.example", "/b/x");
    assertEquals(RequestKind.RESUMABLE_STREAM, r2.kind());
    assertEquals(2, r2.maxAttempts());
    assertTrue(t.find("host.example", "/c/").open());
    assertEquals(new EngineSpec(128, 797_615, 1_250), t.service("s1").engine());
    assertEquals(ColdStart.NONE, t.service("s1").coldStart());
    assertEquals(new ColdStart(3, 15), t.service("s2").coldStart());
    assertEquals(16_000, t.limits().maxHeaderBytes());
    assertEquals(1, t.account("k2").priority().getAsInt());
    assertFalse(t.account("k3").priority().isPresent());
    assertTrue(t.requiresKeys());
  }

  @Test
  void allowedRegionsOfRoutesAndAccountsAreDecoded() throws IOException {
    RouteTable t =
        decode(
            VALID
                .replace("\"sticky\":true", "\"sticky\":true,\"allowed-regions\":[\"a\",\"b\"]")
                .replace("\"can-resume\":true", "\"can-resume\":true,\"allowed-regions\":[]")
                .replace("\"name\":\"t1\"", "\"name\":\"t1\",\"allowed-regions\":[\"b\",\"c\"]")
                .replace("\"name\":\"t2\"", "\"name\":\"t2\",\"allowed-regions\":null"));
    Route restricted = t.find("host.example", "/a/");
    assertEquals(AllowedRegions.of(Set.of("a", "b")), restricted.regions());
    assertEquals(AllowedRegions.ALL, t.find("host.example", "/b/").regions());
    assertEquals(AllowedRegions.ALL, t.find("host.example", "/c/").regions());
    assertEquals(AllowedRegions.of(Set.of("b", "c")), t.account("k1").regions());
    assertEquals(AllowedRegions.ALL, t.account("k3").regions());
    assertEquals(AllowedRegions.of(Set.of("b")), RouteTable.regions(restricted, t.account("k1")));
  }

  // Guards against requests that leave their regions because a restriction was not understood.
  @Test
  void malformedRegionsRejectTheConfiguration() {
    for (String regions : List.of("\"a\"", "{}", "[3]", "[\"\"]", "[null]", "false", "[[\"a\"]]")) {
      for (String entry : List.of("\"name\":\"r1\"", "\"name\":\"t1\"")) {
        String text = VALID.replace(entry, entry + ",\"allowed-regions\":" + regions);
        assertThrows(IOException.class, () -> decode(text), regions);
      }
    }
  }

  // Guards against a configuration that is refused, or loses a priority, over the form of a figure.
  @Test
  void figureMayBeWrittenWithFraction() throws IOException {
    RouteTable whole = decode(VALID);
    RouteTable t =
        decode(VALID.replaceAll("(-ms|slots|weight|priority|version)\":([0-9]+)", "$1\":$2.0"));
    assertEquals(whole.version(), t.version());
    assertEquals(whole.find("host.example", "/a/x"), t.find("host.example", "/a/x"));
    assertEquals(whole.service("s1"), t.service("s1"));
    assertEquals(whole.limits(), t.limits());
    assertEquals(1, t.account("k2").priority().getAsInt());
    Route r =
        decode(VALID.replace("\"timeout-ms\":9000", "\"timeout-ms\":9000.25"))
            .find("host.example", "/b/");
    assertEquals(9_000, r.timeoutMillis());
  }

  @Test
  void unknownKindIsUnrepeatable() throws IOException {
    assertEquals(RequestKind.UNREPEATABLE, decode(VALID).find("host.example", "/d/").kind());
  }

  @Test
  void engineWithoutLinkSettingsCanNotFetch() throws IOException {
    RouteTable t = decode(VALID.replace("\"kv-token-bytes\":18000,", ""));
    assertFalse(t.service("s1").engine().canFetch());
  }

  @Test
  void configurationWithoutAccountsRequiresNoKeys() throws IOException {
    assertFalse(decode("{\"version\":1,\"routes\":[],\"services\":[]}").requiresKeys());
  }

  @Test
  void invalidConfigurationIsRejectedEntirely() {
    for (String[] change :
        List.of(
            new String[] {"\"version\":7", "\"version\":\"7\""},
            new String[] {"\"version\":7,", ""},
            new String[] {"\"prefix\":\"/b/\"", "\"prefix\":\"b/\""},
            new String[] {"\"prefix\":\"/b/\"", "\"prefix\":3"},
            new String[] {"\"timeout-ms\":9000", "\"timeout-ms\":-1"},
            new String[] {"\"timeout-ms\":9000,", ""},
            new String[] {"\"timeout-ms\":9000", "\"timeout-ms\":1e99"},
            new String[] {"\"timeout-ms\":9000", "\"timeout-ms\":1e999"},
            new String[] {"\"timeout-ms\":9000", "\"timeout-ms\":0.2"},
            new String[] {"\"version\":7", "\"version\":7.5"},
            new String[] {"\"version\":7", "\"version\":1e300"},
            new String[] {"\"weight\":90", "\"weight\":0.5"},
            new String[] {"\"cold-per-s\":15", "\"cold-per-s\":-1"},
            new String[] {"\"cold-per-s\":15", "\"cold-per-s\":\"15\""},
            new String[] {"\"service\":\"s1\"", "\"service\":\"nowhere\""},
            new String[] {"\"weight\":90", "\"weight\":\"all\""},
            new String[] {"\"kind\":\"safe\"", "\"kind\":null"},
            new String[] {"\"link-mbps\":180000.0", "\"link-mbps\":\"fast\""},
            new String[] {"\"link-mbps\":180000.0", "\"link-mbps\":-1"},
            new String[] {"\"kv-token-bytes\":18000", "\"kv-token-bytes\":-1"},
            new String[] {"\"kv-capacity\":797615", "\"kv-capacity\":0"},
            new String[] {"\"api-keys\":[\"k3\"]", "\"api-keys\":\"k3\""},
            new String[] {"\"max-body-bytes\":4000000", "\"max-body-bytes\":99999999999"})) {
      String broken = VALID.replace(change[0], change[1]);
      assertFalse(broken.equals(VALID), change[0]);
      assertThrows(IOException.class, () -> decode(broken), change[1]);
    }
  }

  @Test
  void truncatedConfigurationIsRejected() {
    for (int n = 0; n < VALID.length(); n += 7) {
      String truncated = VALID.substring(0, n);
      assertThrows(IOException.class, () -> decode(truncated));
    }
  }
}
