package shorecrank.coordination.model;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;

/**
 * A job's record as its owner last knew it in the state service, and the writes that are to replace
 * it: at most one at a time, each guarded by the revision of the one before.
 */
public final class JobRecordState {
  /** Writes of one object are numbered in a range of this many bits of its own. */
  private static final int SEQUENCE_BITS = 24;

  /** Writes of this object are numbered above it; no other of this process shares the range. */
  private final long firstSequence;

  private Revision revision;
  private Epoch epoch;
  private JobStatus status;

  /** The latest revision that a watch has shown. */
  private Revision seenRevision = Revision.ABSENT;

  private long sequence;
  private long committedSequence;
  private boolean claimed;
  private boolean claimRequired;
  private boolean separate;
  private boolean compact;
  private boolean inFlight;
  private boolean rereading;
  private WriteUrgency urgency = WriteUrgency.NONE;
  private MonotonicTime urgentSince = MonotonicTime.NEVER;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;

  /** So many more attempt ranges fit into the record; known from its last write on. */
  private int rangesLeft = Integer.MAX_VALUE;

  /** Whether something was placed that the next write holds. */
  private boolean placementDue;

  /** Whether the last write that was sent holds a placement. */
  private boolean placementSent;

  /**
   * @param life a number that no other object of this process has that writes this record
   */
  JobRecordState(long life) {
    this.firstSequence = life << SEQUENCE_BITS;
    this.sequence = firstSequence;
  }

  // ---- what the store holds --------------------------------------------------------------------

  /** The revision that guards the next write. */
  public Revision revision() {
    return revision;
  }

  /** What the record of {@link #revision()} says; users are told it while the revision holds. */
  public JobStatus status() {
    return status;
  }

  /** Takes over a record that another has written. */
  void adopt(JobRecord record, Revision readRevision) {
    adoptRevision(record, readRevision);
    epoch = record.epoch();
    committedSequence = sequence;
  }

  /** A record was read that says no more than is known here, but for a mark of a cancellation. */
  public void adoptRevision(JobRecord record, Revision readRevision) {
    revision = readRevision;
    status = record.jobStatus();
  }

  /** The record was found to hold one of this object's writes. */
  void adoptOwnWrite(JobRecord record) {
    claimed = record.epoch().value() > 0;
    committedSequence = Math.max(committedSequence, record.sequence());
  }

  /** Whether a record holds a write of this very object, so that memory is as new or newer. */
  public boolean isOwnWrite(JobRecord record, WriterId writer) {
    return record.writer().equals(writer) && record.sequence() > firstSequence;
  }

  /** A watch has shown a revision of the record. */
  public void observeRevision(Revision shown) {
    if (shown.isAfter(seenRevision)) {
      seenRevision = shown;
    }
  }

  /** Whether a watch has shown a later revision than the one known here. */
  public boolean isOutdated() {
    return seenRevision.isAfter(revision);
  }

  // ---- claims ----------------------------------------------------------------------------------

  /** Whether this owner has written the record, so that no earlier owner's write can follow. */
  public boolean isClaimed() {
    return claimed;
  }

  /** Whether an owner had written the record when it was last read or written. */
  public boolean hasOwner() {
    return epoch.value() > 0;
  }

  /** Whether no write of an earlier owner can follow: it is claimed, or nobody has owned it. */
  public boolean isFreeOfEarlierOwner() {
    return claimed || !hasOwner();
  }

  /** This owner has not written the record yet. */
  public void unclaim() {
    claimed = false;
  }

  /** The record has to be claimed before its team's limit can be relied on. */
  public void requireClaim() {
    claimRequired = true;
  }

  /** Whether a record that nobody has owned has to be claimed all the same. */
  public boolean isClaimRequired() {
    return claimRequired;
  }

  /** Whether an owner's late write can't add to the use of the job's team. */
  public boolean isTeamUseKnown() {
    return claimed || (!hasOwner() && !claimRequired);
  }

  // ---- writes ----------------------------------------------------------------------------------

  /** The number of the last write that was sent. */
  public long sequence() {
    return sequence;
  }

  /** The number that the next write gets. */
  public long nextSequence() {
    return sequence + 1;
  }

  /** The highest number of a write that is known to be committed. */
  public long committedSequence() {
    return committedSequence;
  }

  /** Whether a write has no answer yet. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** A write is being sent, with all that is to be written. */
  public void beginWrite() {
    inFlight = true;
    sequence++;
    placementSent = placementDue;
    placementDue = false;
    urgency = WriteUrgency.NONE;
  }

  /** A write has its answer, or none in time. */
  public void endWrite() {
    inFlight = false;
  }

  /** A write is committed at a revision, under an epoch. */
  void recordCommitted(
      long committed, Revision atRevision, Epoch underEpoch, JobStatus writtenStatus) {
    revision = atRevision;
    committedSequence = committed;
    epoch = underEpoch;
    status = writtenStatus;
    claimed = true;
    separate = false;
  }

  /** Whether the record is being read again to settle whose it is. */
  public boolean isRereading() {
    return rereading;
  }

  /** The record is read again, or that has ended. */
  public void setRereading(boolean rereading) {
    this.rereading = rereading;
  }

  // ---- what is to be written -------------------------------------------------------------------

  /** How soon the record has to be written. */
  public WriteUrgency urgency() {
    return urgency;
  }

  /** Since when there has been something to write. */
  public MonotonicTime urgentSince() {
    return urgentSince;
  }

  /** There is something to write; an urgency asked for before is not lowered. */
  void raiseUrgency(WriteUrgency least, MonotonicTime now) {
    if (urgency == WriteUrgency.NONE) {
      urgentSince = now;
    }
    if (least.compareTo(urgency) > 0) {
      urgency = least;
    }
  }

  /** Writes nothing before then. */
  public void pauseUntil(MonotonicTime until) {
    pausedUntil = until;
  }

  /** Whether a write may be sent now. */
  public boolean isWritable(MonotonicTime now) {
    return !inFlight && !rereading && !now.isBefore(pausedUntil);
  }

  /** Whether tasks may be placed: the placement goes into a write, of which only one may be out. */
  public boolean canAcceptPlacement() {
    return !inFlight && !rereading && rangesLeft > 0 && isFreeOfEarlierOwner();
  }

  // ---- size ------------------------------------------------------------------------------------

  /** Whether it goes in a transaction of its own, because one with it was too large. */
  public boolean isOwnTransactionRequired() {
    return separate;
  }

  /** A transaction with it was too large; it goes alone until it is through. */
  public void requireOwnTransaction() {
    separate = true;
  }

  /** Whether the state service has refused it for its size, so that the shortest form is used. */
  public boolean isCompactFormRequired() {
    return compact;
  }

  /** It is written in the shortest form from now on. */
  public void requireCompactForm() {
    compact = true;
  }

  /** Whether a further attempt range fits into the record. */
  public boolean hasRoomForRange() {
    return rangesLeft > 0;
  }

  /** How many more attempt ranges fit into the record. */
  public void setRangesLeft(int ranges) {
    rangesLeft = ranges;
  }

  /** A further attempt range was placed. */
  public void recordPlacedRange() {
    rangesLeft--;
    placementDue = true;
  }

  /** Whether the last write that was sent holds a placement. */
  public boolean isPlacementSent() {
    return placementSent;
  }
}
