package shorecrank.coordination.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;

/**
 * The record of a job as the shard owner last saw it in the state service, and the state of the
 * owner's writes to it. At most one write is in flight at a time, and it is conditional on the
 * revision that the owner saw last.
 */
public final class JobRecordState {
  /**
   * The sequence numbers of one object's writes differ only in this many low bits, so that each
   * object has a range of its own.
   */
  private static final int SEQUENCE_BITS = 24;

  /** This object's writes have sequence numbers above this one; objects' ranges don't overlap. */
  private final long firstSequence;

  private Revision revision;
  private Epoch epoch;
  private JobStatus status;

  /** The latest revision of the record that a change has shown. */
  private Revision seenRevision = Revision.ABSENT;

  /** The record at {@link #seenRevision} if that is later than {@link #revision}. */
  private Optional<JsonNode> seenValue = Optional.empty();

  private long sequence;
  private long committedSequence;
  private boolean claimed;
  private boolean claimRequired;
  private boolean ownTransactionRequired;
  private boolean compactFormRequired;
  private boolean inFlight;
  private boolean rereading;
  private WriteUrgency urgency = WriteUrgency.NONE;
  private MonotonicTime urgentSince = MonotonicTime.NEVER;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;

  /** How many more attempt ranges fit into the record; unlimited until the record is written. */
  private int rangesLeft = Integer.MAX_VALUE;

  /** Whether tasks were placed since the last write was sent. */
  private boolean placementDue;

  /** Whether the last write that was sent contains a new placement. */
  private boolean placementSent;

  /**
   * @param instanceNumber a number that this process gives to no other object that writes records
   */
  JobRecordState(long instanceNumber) {
    this.firstSequence = instanceNumber << SEQUENCE_BITS;
    this.sequence = firstSequence;
  }

  // ---- the stored record -----------------------------------------------------------------------

  /** Returns the revision of the record that the next write is conditional on. */
  public Revision revision() {
    return revision;
  }

  /**
   * Returns the job's status in the latest record that this owner has written, read or been shown;
   * empty if that record was deleted or can't be read.
   */
  public Optional<JobStatus> latestStatus() {
    if (!isOutdated()) {
      return Optional.of(status);
    }
    return seenValue.map(JobRecord::read).map(JobRecord::jobStatus);
  }

  /** Takes over a record that another writer has stored. */
  void adopt(JobRecord record, Revision readRevision) {
    adoptRevision(record, readRevision);
    epoch = record.epoch();
    committedSequence = sequence;
  }

  /**
   * Takes over only the revision and the status of a stored record. The rest of the record equals
   * the state in memory, except for a cancellation mark that a user may have added.
   */
  public void adoptRevision(JobRecord record, Revision readRevision) {
    setRevision(readRevision);
    status = record.jobStatus();
  }

  private void setRevision(Revision newRevision) {
    revision = newRevision;
    if (!isOutdated()) {
      seenValue = Optional.empty();
    }
  }

  /** Records that the stored record is one of this object's writes, which is thus committed. */
  void adoptOwnWrite(JobRecord record) {
    claimed = record.epoch().value() > 0;
    committedSequence = Math.max(committedSequence, record.sequence());
  }

  /**
   * Reports whether a record was written by this very object, so that the state in memory is at
   * least as new.
   *
   * @param writer this process
   */
  public boolean isOwnWrite(JobRecord record, WriterId writer) {
    return record.writer().equals(writer) && record.sequence() > firstSequence;
  }

  /** Records a change of the record that the state service has shown. */
  public void observe(Change change) {
    if (change.revision().isAfter(seenRevision)) {
      seenRevision = change.revision();
      seenValue = isOutdated() ? Optional.ofNullable(change.value()) : Optional.empty();
    }
  }

  /** Reports whether a change has shown a later revision than {@link #revision()}. */
  public boolean isOutdated() {
    return seenRevision.isAfter(revision);
  }

  // ---- claims ----------------------------------------------------------------------------------

  /**
   * Reports whether this shard owner has written the record, so that an earlier owner's conditional
   * write can no longer succeed.
   */
  public boolean isClaimed() {
    return claimed;
  }

  /** Reports whether any shard owner had written the record when it was last read or written. */
  public boolean hasOwner() {
    return epoch.value() > 0;
  }

  /**
   * Reports whether no write of an earlier owner can follow: this owner has claimed the record, or
   * no owner has ever written it.
   */
  public boolean isFreeOfEarlierOwner() {
    return claimed || !hasOwner();
  }

  /** Records that this owner still has to claim the record, because another one has written it. */
  public void unclaim() {
    claimed = false;
  }

  /**
   * Requires this owner to claim the record, even if no owner has written it, before the quota
   * usage of the job's team counts as known.
   */
  public void requireClaim() {
    claimRequired = true;
  }

  /** Reports whether the record has to be claimed even if no owner has written it. */
  public boolean isClaimRequired() {
    return claimRequired;
  }

  /**
   * Reports whether no late write of an earlier owner can add attempts to this record, so that the
   * attempts that it names are the job's full part of the team's quota usage.
   */
  public boolean isTeamUsageKnown() {
    return claimed || (!hasOwner() && !claimRequired);
  }

  // ---- writes ----------------------------------------------------------------------------------

  /** Returns the sequence number of the last write that was sent. */
  public long sequence() {
    return sequence;
  }

  /** Returns the sequence number that the next write will have. */
  public long nextSequence() {
    return sequence + 1;
  }

  /** Returns the highest sequence number of a write that is known to be committed. */
  public long committedSequence() {
    return committedSequence;
  }

  /** Reports whether a write was sent that has neither been answered nor timed out. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** Records that a write with all pending changes is being sent. */
  public void beginWrite() {
    inFlight = true;
    sequence++;
    placementSent = placementDue;
    placementDue = false;
    urgency = WriteUrgency.NONE;
  }

  /** Records that the write in flight was answered or has timed out. */
  public void endWrite() {
    inFlight = false;
  }

  /**
   * Records that a write is committed.
   *
   * @param committed the sequence number of the write
   * @param underEpoch the epoch that the write carried
   * @param writtenStatus the job's status in that write
   */
  void recordCommitted(
      long committed, Revision atRevision, Epoch underEpoch, JobStatus writtenStatus) {
    setRevision(atRevision);
    committedSequence = committed;
    epoch = underEpoch;
    status = writtenStatus;
    claimed = true;
    ownTransactionRequired = false;
  }

  /** Reports whether the record is being read again to find out who wrote it last. */
  public boolean isRereading() {
    return rereading;
  }

  /** Sets whether the record is being read again. */
  public void setRereading(boolean rereading) {
    this.rereading = rereading;
  }

  // ---- pending changes -------------------------------------------------------------------------

  /** Returns how soon the record has to be written. */
  public WriteUrgency urgency() {
    return urgency;
  }

  /** Returns when the oldest change that is still to be written was requested. */
  public MonotonicTime urgentSince() {
    return urgentSince;
  }

  /** Raises the urgency of the next write; a higher urgency that was set before is kept. */
  void raiseUrgency(WriteUrgency minUrgency, MonotonicTime now) {
    if (urgency == WriteUrgency.NONE) {
      urgentSince = now;
    }
    if (minUrgency.compareTo(urgency) > 0) {
      urgency = minUrgency;
    }
  }

  /** Prevents writes of the record before a time. */
  public void pauseUntil(MonotonicTime until) {
    pausedUntil = until;
  }

  /** Reports whether a write may be sent now. */
  public boolean isWritable(MonotonicTime now) {
    return !inFlight && !rereading && !now.isBefore(pausedUntil);
  }

  /**
   * Reports whether tasks of the job may be placed. A placement goes into the next write, so none
   * is possible while a write is in flight or an earlier owner can still write the record.
   */
  public boolean canAcceptPlacement() {
    return !inFlight && !rereading && rangesLeft > 0 && isFreeOfEarlierOwner();
  }

  // ---- size ------------------------------------------------------------------------------------

  /** Reports whether the record has to be written in a transaction of its own. */
  public boolean isOwnTransactionRequired() {
    return ownTransactionRequired;
  }

  /**
   * Requires the record to be written in a transaction of its own until a write is committed,
   * because a transaction that contained it was too large.
   */
  public void requireOwnTransaction() {
    ownTransactionRequired = true;
  }

  /** Reports whether the record has to be written in its most compact form. */
  public boolean isCompactFormRequired() {
    return compactFormRequired;
  }

  /**
   * Requires the record to be written in its most compact form from now on, because the state
   * service has rejected it as too large.
   */
  public void requireCompactForm() {
    compactFormRequired = true;
  }

  /** Reports whether another attempt range fits into the record. */
  public boolean hasRoomForRange() {
    return rangesLeft > 0;
  }

  /** Sets how many more attempt ranges fit into the record. */
  public void setRangesLeft(int ranges) {
    rangesLeft = ranges;
  }

  /** Records that the tasks of another attempt range were placed. */
  public void recordPlacedRange() {
    rangesLeft--;
    placementDue = true;
  }

  /** Reports whether the last write that was sent contains a new placement. */
  public boolean isPlacementSent() {
    return placementSent;
  }
}
