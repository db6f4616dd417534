package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies that {@link CommandHistory} reports each start command that violates a rule. */
class CommandHistoryTest {
  private final CommandHistory history = new CommandHistory();

  private static long token(long epoch, int number) {
    return (epoch << 24) + number;
  }

  private void assertViolation(String rule, List<String> violations) {
    assertEquals(1, violations.size(), violations.toString());
    assertTrue(violations.get(0).startsWith(rule), violations.toString());
  }

  @BeforeEach
  void allocateTwoShards() {
    history.recordAllocation(3, 0);
    history.recordAllocation(4, 1);
    history.recordAssignment("n-1", 0);
  }

  @Test
  void handoverCausesNoViolation() {
    assertEquals(List.of(), history.recordStart("n-1", token(3, 0), "wk-1/0"));
    assertEquals(List.of(), history.recordStart("n-1", token(3, 7), "wk-1/1"));
    history.recordAssignment("n-1", 1);
    assertEquals(List.of(), history.recordStart("n-1", token(4, 0), "wk-2/0"));
  }

  @Test
  void reportsStartByNextOwnerBeforeHandover() {
    assertViolation("start_of_other_shard", history.recordStart("n-1", token(4, 0), "wk-2/0"));
  }

  @Test
  void reportsStartByFormerOwnerAfterHandover() {
    history.recordAssignment("n-1", 1);
    assertViolation("start_of_other_shard", history.recordStart("n-1", token(3, 0), "wk-1/0"));
  }

  @Test
  void reportsStartUnderLowerEpochThanBefore() {
    history.recordAllocation(5, 0);
    assertEquals(List.of(), history.recordStart("n-1", token(5, 0), "wk-1/0"));
    assertViolation("start_below", history.recordStart("n-1", token(3, 9), "wk-1/1"));
  }

  @Test
  void reportsStartUnderUnallocatedEpoch() {
    assertViolation("start_unallocated", history.recordStart("n-1", token(9, 0), "wk-1/0"));
  }
}
