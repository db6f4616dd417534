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

/** Defaults and ranges of the settings and of the platform's limits; failures name the field. */
class SettingsTest {
  @Test
  void shippedExampleHoldsTheDefaults() throws Exception {
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
  void badSettingsNameTheField(String text, String message) {
    InvalidConfigException e =
        assertThrows(InvalidConfigException.class, () -> SettingsFile.read(text));
    assertTrue(e.getMessage().contains(message) || text.startsWith("parts: many"), e.getMessage());
  }

  private static NodeConfig platform(String state) throws Exception {
    String file =
        "{'label':'n','public_addr':'1.2.3.4:80','peer_bind':'1.2.3.4:81',"
            + "'endpoints':{'cloud':'1.2.3.5:1','state':'1.2.3.6:1'},'settings':{'state':"
            + state
            + "}}";
    return NodeConfigFile.read(file.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  /** Lower limits come without notice, so both hold from the start; what is not named stays. */
  @Test
  void theLowerOfBothLimitsHolds() throws Exception {
    NodeConfig.StateLimits s =
        platform(
                "{'rps':70,'write_rps':25,'value_kb':16,'txn_ops':16,'next':{'value_kb':2,'txn_ops':50}}")
            .state();
    assertEquals(new NodeConfig.StateLimits(70, 25, 2, 16), s);
    assertEquals(16, platform("{'value_kb':16,'next':null}").state().valueKb());
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '~',
      value = {
        "{'next':3}, settings.state.next must be an object",
        "{'next':{'value_kb':0}}, settings.state.next.value_kb must be a number from 1",
        "{'next':{'txn_ops':'many'}}, settings.state.next.txn_ops must be a number from 4"
      })
  void badLowerLimitsNameTheField(String state, String message) {
    InvalidConfigException e =
        assertThrows(InvalidConfigException.class, () -> platform(state.replace("''", "'")));
    assertTrue(e.getMessage().startsWith(message), e.getMessage());
  }
}
