package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.ConfirmationHistory.Recent;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;

/** Tests how far back the history of confirmed cancellations is reported as complete. */
class ConfirmationHistoryTest {
  private static final JobId ONE = JobBuilder.id(1);
  private static final JobId TWO = JobBuilder.id(2);
  private static final JobId THREE = JobBuilder.id(3);

  private final ConfirmationHistory history = new ConfirmationHistory(2);

  private static MonotonicTime at(long ms) {
    return new MonotonicTime(ms);
  }

  @Test
  void isEmptyBeforeItBegins() {
    assertEquals(new Recent(0, List.of()), history.recent(5000, 10, at(1000)));
  }

  @Test
  void isCompleteSinceItsBeginning() {
    history.tick(at(1000));
    assertTrue(history.add(ONE, at(1500)));
    assertFalse(history.add(ONE, at(1600)), "confirmed before");
    assertEquals(new Recent(1000, List.of(ONE)), history.recent(5000, 10, at(2000)));
    assertEquals(new Recent(400, List.of()), history.recent(400, 10, at(2000)));
  }

  @Test
  void isCompleteSinceTheConfirmationDroppedLastForItsSize() {
    history.tick(at(1000));
    history.add(ONE, at(1100));
    history.add(TWO, at(1200));
    history.add(THREE, at(1300));
    assertEquals(new Recent(900, List.of(THREE, TWO)), history.recent(5000, 10, at(2000)));
  }

  @Test
  void isCompleteSinceTheConfirmationThatExceedsMaxJobs() {
    history.tick(at(1000));
    history.add(ONE, at(1100));
    history.add(TWO, at(1200));
    assertEquals(new Recent(900, List.of(TWO)), history.recent(5000, 1, at(2000)));
  }

  @Test
  void dropsConfirmationsAfterTheRetentionTime() {
    history.tick(at(1000));
    history.add(ONE, at(1100));
    history.tick(at(901_101));
    assertEquals(new Recent(900_001, List.of()), history.recent(2_000_000, 10, at(901_101)));
  }
}
