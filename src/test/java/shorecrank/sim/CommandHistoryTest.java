package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Faults are planted in a history, and each is found. */
class CommandHistoryTest {
  private final CommandHistory history = new CommandHistory();

  private static long token(long epoch, int number) {
    return (epoch << 24) + number;
  }

  private void finds(String rule, List<String> wrong) {
    assertEquals(1, wrong.size(), wrong.toString());
    assertTrue(wrong.get(0).startsWith(rule), wrong.toString());
  }

  @BeforeEach
  void twoShards() {
    history.allocated(3, 0);
    history.allocated(4, 1);
    history.assigned("n-1", 0);
  }

  @Test
  void aCleanHandoverHasNoFault() {
    assertEquals(List.of(), history.started("n-1", token(3, 0), "wk-1/0"));
    assertEquals(List.of(), history.started("n-1", token(3, 7), "wk-1/1"));
    history.assigned("n-1", 1);
    assertEquals(List.of(), history.started("n-1", token(4, 0), "wk-2/0"));
  }

  @Test
  void aStartByTheNextOwnerBeforeTheHandover() {
    finds("start_of_other_shard", history.started("n-1", token(4, 0), "wk-2/0"));
  }

  @Test
  void aStartByTheFormerOwnerAfterTheHandover() {
    history.assigned("n-1", 1);
    finds("start_of_other_shard", history.started("n-1", token(3, 0), "wk-1/0"));
  }

  @Test
  void aStartUnderAnEpochThatTheMachineHasLeftBehind() {
    history.allocated(5, 0);
    assertEquals(List.of(), history.started("n-1", token(5, 0), "wk-1/0"));
    finds("start_below", history.started("n-1", token(3, 9), "wk-1/1"));
  }

  @Test
  void aStartUnderAnEpochThatNobodyAllocated() {
    finds("start_unallocated", history.started("n-1", token(9, 0), "wk-1/0"));
  }
}
