package shorecrank.coordination.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/**
 * Tests that a controller that knows a version of the assignments receives all removals after that
 * version, or is told to take all assignments anew.
 */
class AssignmentChangeLogTest {
  private static final int RETAINED_REMOVALS = 1000;

  private final AssignmentChangeLog changes = new AssignmentChangeLog();

  private List<MachineName> removedAfter(long known) {
    List<MachineName> removed = new ArrayList<>();
    changes.forEachRemovalAfter(known, removed::add);
    return removed;
  }

  private static MachineName machine(int number) {
    return new MachineName("m" + number);
  }

  @Test
  void returnsRemovalsAfterVersionInOrder() {
    changes.restart(new Revision(5));
    long known = changes.version();
    changes.addRemoval(machine(2), 0);
    changes.advance();
    changes.addRemoval(machine(1), 0);

    assertEquals(List.of(machine(2), machine(1)), removedAfter(known));
    assertEquals(List.of(machine(1)), removedAfter(known + 1));
    assertTrue(changes.covers(known));
    assertTrue(changes.covers(changes.version()));
  }

  @Test
  void coversNeitherEarlierTermNorFutureVersion() {
    changes.restart(new Revision(5));
    long earlier = changes.version();
    changes.restart(new Revision(6));

    assertFalse(changes.covers(earlier));
    assertFalse(changes.covers(changes.version() + 1));
  }

  @Test
  void versionRisesWhenSameTermIsLoadedAgain() {
    changes.restart(new Revision(5));
    changes.advance();
    long sentVersion = changes.version();
    changes.restart(new Revision(5));

    assertTrue(changes.version() > sentVersion);
    assertFalse(changes.covers(sentVersion));
  }

  @Test
  void keepsAsManyRemovalsAsMachines() {
    changes.restart(new Revision(5));
    long known = changes.version();
    for (int i = 0; i <= RETAINED_REMOVALS; i++) {
      changes.addRemoval(machine(i), RETAINED_REMOVALS + 1);
    }
    assertTrue(changes.covers(known));

    changes.addRemoval(machine(RETAINED_REMOVALS + 1), 0);
    assertFalse(changes.covers(known + 1));
    assertTrue(changes.covers(known + 2));
  }
}
