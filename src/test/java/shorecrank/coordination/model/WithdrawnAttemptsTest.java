package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests which committed write ends the counting of withdrawn attempts. */
class WithdrawnAttemptsTest {
  private final WithdrawnAttempts withdrawn = new WithdrawnAttempts();

  @Test
  void attemptsCountUntilAWriteWithoutThemIsCommitted() {
    withdrawn.add(5);
    withdrawn.add(5);
    withdrawn.add(7);
    assertEquals(0, withdrawn.removeSettled(4));
    assertEquals(3, withdrawn.count());
    assertEquals(2, withdrawn.removeSettled(6));
    assertEquals(1, withdrawn.count());
    assertEquals(1, withdrawn.removeSettled(9));
    assertEquals(0, withdrawn.count());
  }

  @Test
  void clearRemovesAllAttempts() {
    withdrawn.add(5);
    withdrawn.add(6);
    assertEquals(2, withdrawn.clear());
    assertEquals(0, withdrawn.count());
    assertEquals(0, withdrawn.removeSettled(9));
  }
}
