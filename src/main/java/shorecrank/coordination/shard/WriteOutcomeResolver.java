package shorecrank.coordination.shard;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.shard.ShardOwner.Write;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;

/**
 * Finds out what became of writes that were refused or got no answer: what the record says now
 * decides whether the job is still this owner's.
 */
final class WriteOutcomeResolver {
  private static final int CALL_MS = 2000;

  /** A record that could not be read is read again after so long, and up to as much again. */
  private static final int RETRY_MS = 200;

  private static final int END_RETRY_MS = 300;

  /** What the owner does with a job once its record is known. */
  interface Jobs {
    /** Whether the owner still works with this very object. */
    boolean isCurrent(Job job);

    /** The shard's epoch. */
    Epoch epoch();

    /**
     * The record is another's now: the job is given up.
     *
     * @param record null if there is none that can be read
     */
    void refused(Job job, JobRecord record);

    /** A user's cancellation is marked on the record. */
    void cancelled(Job job);

    /** The job is over. */
    void ended(Job job, JobState phase);

    /** An earlier owner's write came in before ours: its record is what counts. */
    void replaced(Job job, JobRecord record, Revision revision);
  }

  private final StepContext context;
  private final MachineReferences references;
  private final Jobs jobs;

  /**
   * @param references machines that records may name; null where that is not kept track of
   */
  WriteOutcomeResolver(StepContext context, MachineReferences references, Jobs jobs) {
    this.context = context;
    this.references = references;
    this.jobs = jobs;
  }

  /** A write has its answer, or none: what that settles of the machines that records may name. */
  void answered(Write write, int status, JsonNode body) {
    if (references == null) {
      return;
    }
    JobId id = write.job().id();
    if (status != 200) {
      if (StoreMessages.notCarriedOut(status)) {
        references.refused(id, write.seq());
      }
    } else if (write.last()) {
      references.removed(id);
    } else {
      references.committed(id, write.seq(), new Revision(StoreMessages.revision(body)));
    }
  }

  /** Something newer than what we know was seen, and no write of ours is out that explains it. */
  void lookAgain(Job j) {
    if (j.seenRevision.after(j.revision) && !j.inFlight) {
      reread(j);
    }
  }

  /** Reads a record again, to settle whose it is. */
  void reread(Job j) {
    if (j.rereading) {
      return;
    }
    j.rereading = true;
    context.state(
        "GET",
        StoreMessages.key(JobRecord.liveKey(j.id())),
        null,
        CALL_MS,
        (status, body) -> {
          if (!jobs.isCurrent(j)) {
            return;
          }
          j.rereading = false;
          if (status == 200) {
            found(j, StoreMessages.entry(body));
          } else if (status == 404) {
            lookAtEnd(j);
          } else {
            tryLater(j, RETRY_MS + context.random().nextInt(RETRY_MS));
          }
        });
  }

  private void found(Job j, StoreMessages.Entry entry) {
    JobRecord record = JobRecord.read(entry.value());
    if (record == null) {
      jobs.refused(j, null);
      return;
    }
    reconcile(j, record, entry.revision());
    if (jobs.isCurrent(j)) {
      lookAgain(j);
    }
  }

  private void tryLater(Job j, int afterMs) {
    j.writeAfter = context.now().plus(afterMs);
    j.touch(WriteUrgency.NOW, context.now());
  }

  /**
   * The record is no more. Either the job is over (by a write of ours without an answer, or by a
   * later owner's): what is left of it on machines is stopped. Or it is not, and we are refused.
   */
  private void lookAtEnd(Job j) {
    j.rereading = true;
    context.state(
        "GET",
        StoreMessages.key(JobRecord.finalKey(j.id())),
        null,
        CALL_MS,
        (status, body) -> {
          j.rereading = false;
          if (!jobs.isCurrent(j)) {
            return;
          }
          JobRecord.Final end =
              status == 200 ? JobRecord.Final.read(StoreMessages.entry(body).value()) : null;
          if (end != null) {
            if (references != null) {
              references.removed(j.id());
            }
            jobs.ended(j, end.phase());
            context.info("job %s: over, as its final record has it", j.id());
          } else if (status == 404) {
            jobs.refused(j, null);
          } else {
            tryLater(j, END_RETRY_MS);
          }
        });
  }

  private void reconcile(Job j, JobRecord r, Revision revision) {
    boolean another = r.epoch().equals(jobs.epoch()) && !r.writer().equals(context.writer);
    if (r.epoch().above(jobs.epoch()) || another) {
      jobs.refused(j, r);
      return;
    }
    boolean ours = j.wrote(r, context.writer);
    if (references != null) {
      boolean othersMayWrite = !ours && (r.epoch().value() > 0 || j.claimFirst);
      references.read(j.id(), revision, MachineReferences.machinesOf(r), othersMayWrite);
    }
    if (ours) {
      // One of our own writes, by its number; memory already holds all of it. Somebody may have
      // asked to cancel on top of it.
      j.claimed = r.epoch().value() > 0;
      j.committedSeq = Math.max(j.committedSeq, r.seq());
      j.exits.values().removeIf(seq -> seq <= j.committedSeq);
      unchangedButMark(j, r, revision);
    } else if (r.epoch().value() == 0 && j.epoch.value() == 0) {
      // Nobody has claimed it: only a request to cancel changes such a record.
      unchangedButMark(j, r, revision);
    } else {
      context.info(
          "job %s: record of epoch %s found below ours %s, taken in",
          j.id(), r.epoch(), jobs.epoch());
      jobs.replaced(j, r, revision);
    }
    j.touch(WriteUrgency.NOW, context.now());
  }

  private void unchangedButMark(Job j, JobRecord r, Revision revision) {
    j.revision = revision;
    j.jobStatus = r.jobStatus();
    if (r.cancelled() && !j.cancelled) {
      jobs.cancelled(j);
    }
  }
}
