package shorecrank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the defaults and ranges of the operators' settings and of the state service's limits, and
 * that errors name the field.
 */
class SettingsTest {
  @Test
  void exampleFileContainsDefaults() throws Exception {
    assertEquals(
        SettingsFile.defaults(),
        SettingsFile.read(Files.readString(Path.of("deploy/settings.textproto"))));
  }

  @ParameterizedTest
  @CsvSource({
    "parts: 0, parts must be from 1 to 64",
    "sample_size: -1, sample_size must be from 1 to 10000",
    "renew_ms: 4000, renew_ms must be at most half of lease_ms",
    "clear_s: nan, clear_s must be from 1 to 86400",
    "colour: 3, colour",
    "parts: many, parts"
  })
  void errorNamesInvalidSetting(String text, String message) {
    InvalidConfigException e =
        assertThrows(InvalidConfigException.class, () -> SettingsFile.read(text));
    assertTrue(e.getMessage().contains(message) || text.startsWith("parts: many"), e.getMessage());
  }

  private static NodeConfig configWithStateLimits(String state) throws Exception {
    String file =
        "{'label':'n','public_addr':'1.2.3.4:80','peer_bind':'1.2.3.4:81',"
            + "'endpoints':{'cloud':'1.2.3.5:1','state':'1.2.3.6:1'},'settings':{'state':"
            + state
            + "}}";
    return NodeConfigFile.read(file.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  /**
   * An announced limit may come into force at any time, so the lower one of the current and the
   * announced limit applies at once. A limit that is not announced keeps its current value.
   */
  @Test
  void lowerOfCurrentAndAnnouncedLimitApplies() throws Exception {
    NodeConfig.StateLimits limits =
        configWithStateLimits(
                "{'rps':70,'write_rps':25,'value_kb':16,'txn_ops':16,'next':{'value_kb':2,'txn_ops':50}}")
            .state();
    assertEquals(new NodeConfig.StateLimits(70, 25, 2, 16), limits);
    assertEquals(16, configWithStateLimits("{'value_kb':16,'next':null}").state().valueKb());
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '~',
      value = {
        "{'next':3}, settings.state.next must be an object",
        "{'next':{'value_kb':0}}, settings.state.next.value_kb must be a number from 1",
        "{'next':{'txn_ops':'many'}}, settings.state.next.txn_ops must be a number from 4"
      })
  void errorNamesInvalidAnnouncedLimit(String state, String message) {
    InvalidConfigException e =
        assertThrows(
            InvalidConfigException.class, () -> configWithStateLimits(state.replace("''", "'")));
    assertTrue(e.getMessage().startsWith(message), e.getMessage());
  }
}
