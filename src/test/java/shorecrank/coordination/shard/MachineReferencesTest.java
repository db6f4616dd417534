package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/** Which machines records may name, while writes have no answer, are refused, or come late. */
class MachineReferencesTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final MachineName ONE = new MachineName("n-1");
  private static final MachineName TWO = new MachineName("n-2");

  private final MachineReferences references = new MachineReferences();

  private static Revision at(long revision) {
    return new Revision(revision);
  }

  private void named(boolean one, boolean two) {
    assertEquals(one, references.mayName(ONE), "n-1");
    assertEquals(two, references.mayName(TWO), "n-2");
  }

  private void ownRecordNamesOne() {
    references.read(JOB, at(5), Set.of(ONE), false);
    named(true, false);
  }

  @Test
  void aCommittedWriteReplacesWhatWasThere() {
    ownRecordNamesOne();
    references.sent(JOB, 1, at(5), Set.of(TWO));
    named(true, true);
    references.committed(JOB, 1, at(6));
    named(false, true);
    references.removed(JOB);
    named(false, false);
  }

  @Test
  void aRefusedWriteChangesNothing() {
    ownRecordNamesOne();
    references.sent(JOB, 1, at(5), Set.of(TWO));
    references.refused(JOB, 1);
    named(true, false);
  }

  @Test
  void aWriteWithoutAnswerCountsUntilOneBehindItIsCommitted() {
    ownRecordNamesOne();
    references.sent(JOB, 1, at(5), Set.of(TWO));
    references.sent(JOB, 2, at(5), Set.of());
    named(true, true);
    references.committed(JOB, 2, at(7));
    named(false, false);
  }

  @Test
  void aWriteWithoutAnswerIsSettledByALaterRevisionOnly() {
    ownRecordNamesOne();
    references.sent(JOB, 1, at(5), Set.of(TWO));
    references.read(JOB, at(5), Set.of(ONE), false);
    named(true, true);
    references.read(JOB, at(6), Set.of(ONE), false);
    named(true, false);
  }

  @Test
  void anOlderReadingChangesNothing() {
    ownRecordNamesOne();
    references.read(JOB, at(4), Set.of(TWO), false);
    named(true, false);
  }

  @Test
  void untilItIsClaimedARecordMayNameAnyMachine() {
    references.read(JOB, at(5), Set.of(), true);
    named(true, true);
    references.sent(JOB, 1, at(5), Set.of());
    references.committed(JOB, 1, at(6));
    named(false, false);
  }

  @Test
  void anAnswerToAWriteOfBeforeAReloadChangesNothing() {
    ownRecordNamesOne();
    references.sent(JOB, 1, at(5), Set.of());
    references.clear();
    references.read(JOB, at(5), Set.of(ONE), true);
    references.committed(JOB, 1, at(6));
    named(true, true);
  }
}
