package shorecrank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
  @Test
  void shippedExampleHoldsTheDefaults() throws Exception {
    assertEquals(
        TuningFile.defaults(),
        TuningFile.read(Files.readString(Path.of("deploy/settings.textproto"))));
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
  void badSettingsNameTheField(String text, String part) {
    NodeConfig.Invalid e = assertThrows(NodeConfig.Invalid.class, () -> TuningFile.read(text));
    assertTrue(e.getMessage().contains(part) || text.startsWith("parts: many"), e.getMessage());
  }
}
