package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/**
 * Tests which machines records may name while writes are unanswered, refused or applied late. A
 * reference that is forgotten too soon would let a machine be handed over while a record still
 * names it.
 */
class MachineReferencesTest {
  private static final JobId JOB = new JobId("wk-1");
  private static final MachineName FIRST = new MachineName("n-1");
  private static final MachineName SECOND = new MachineName("n-2");

  private final MachineReferences references = new MachineReferences();

  private static Revision revision(long revision) {
    return new Revision(revision);
  }

  private void assertMayBeNamed(boolean first, boolean second) {
    assertEquals(first, references.mayBeNamed(FIRST), "n-1");
    assertEquals(second, references.mayBeNamed(SECOND), "n-2");
  }

  private void readOwnRecordNamingFirst() {
    references.recordRead(JOB, revision(5), Set.of(FIRST), false);
    assertMayBeNamed(true, false);
  }

  @Test
  void committedWriteReplacesReferencedMachines() {
    readOwnRecordNamingFirst();
    references.recordSent(JOB, 1, revision(5), Set.of(SECOND));
    assertMayBeNamed(true, true);
    references.recordCommitted(JOB, 1, revision(6));
    assertMayBeNamed(false, true);
    references.recordRemoved(JOB);
    assertMayBeNamed(false, false);
  }

  @Test
  void refusedWriteChangesNothing() {
    readOwnRecordNamingFirst();
    references.recordSent(JOB, 1, revision(5), Set.of(SECOND));
    references.recordRefused(JOB, 1);
    assertMayBeNamed(true, false);
  }

  @Test
  void unansweredWriteCountsUntilLaterWriteIsCommitted() {
    readOwnRecordNamingFirst();
    references.recordSent(JOB, 1, revision(5), Set.of(SECOND));
    references.recordSent(JOB, 2, revision(5), Set.of());
    assertMayBeNamed(true, true);
    references.recordCommitted(JOB, 2, revision(7));
    assertMayBeNamed(false, false);
  }

  @Test
  void unansweredWriteIsSettledOnlyByLaterRevision() {
    readOwnRecordNamingFirst();
    references.recordSent(JOB, 1, revision(5), Set.of(SECOND));
    references.recordRead(JOB, revision(5), Set.of(FIRST), false);
    assertMayBeNamed(true, true);
    references.recordRead(JOB, revision(6), Set.of(FIRST), false);
    assertMayBeNamed(true, false);
  }

  @Test
  void readOfOlderRevisionChangesNothing() {
    readOwnRecordNamingFirst();
    references.recordRead(JOB, revision(4), Set.of(SECOND), false);
    assertMayBeNamed(true, false);
  }

  @Test
  void unclaimedRecordMayNameAnyMachine() {
    references.recordRead(JOB, revision(5), Set.of(), true);
    assertMayBeNamed(true, true);
    references.recordSent(JOB, 1, revision(5), Set.of());
    references.recordCommitted(JOB, 1, revision(6));
    assertMayBeNamed(false, false);
  }

  @Test
  void answerToWriteFromBeforeReloadChangesNothing() {
    readOwnRecordNamingFirst();
    references.recordSent(JOB, 1, revision(5), Set.of());
    references.clear();
    references.recordRead(JOB, revision(5), Set.of(FIRST), true);
    references.recordCommitted(JOB, 1, revision(6));
    assertMayBeNamed(true, true);
  }
}
