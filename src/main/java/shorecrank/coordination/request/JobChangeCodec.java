package shorecrank.coordination.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import shorecrank.coordination.request.StoredJob.Unfinished;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.JobRecord;

/** Encodes the changes of job records that users ask for, as transactions of the state service. */
final class JobChangeCodec {
  /** What an owner adds to a record with its first placement, at the most. */
  private static final int OWNER_BYTES = 256;

  private static final int BYTES_PER_KB = 1024;

  private final StepContext context;

  /** The forms in which a record can be written. */
  enum Form {
    /** The one that every version reads. */
    PLAIN,

    /** A smaller one. */
    COMPACT
  }

  JobChangeCodec(StepContext context) {
    this.context = context;
  }

  /**
   * The transaction that creates a job's first record, with room for what its owner adds; empty if
   * no form of the record fits. The compact form is for jobs that name others: versions that know
   * no such jobs don't read it.
   */
  Optional<Transaction> create(JobSpec spec) {
    JobRecord record =
        new JobRecord(
            spec,
            Epoch.NONE,
            WriterId.NONE,
            0,
            new BitSet(),
            List.of(),
            0,
            false,
            context.wallMs(),
            0);
    double limit = context.config().state().valueKb() * BYTES_PER_KB;
    ObjectNode value = record.write();
    int bytes = Json.bytes(value).length;
    if (spec.dependencies().isEmpty()) {
      return bytes <= limit ? Optional.of(creation(spec.id(), value)) : Optional.empty();
    }
    if (bytes + OWNER_BYTES <= limit) {
      return Optional.of(creation(spec.id(), value));
    }
    ObjectNode compact = record.writeCompact();
    return Json.bytes(compact).length + OWNER_BYTES <= limit
        ? Optional.of(creation(spec.id(), compact))
        : Optional.empty();
  }

  private static Transaction creation(JobId id, ObjectNode value) {
    return new Transaction()
        .guard(JobRecord.liveKey(id), Revision.ABSENT)
        .guard(JobRecord.finalKey(id), Revision.ABSENT)
        .write(JobRecord.liveKey(id), value);
  }

  /**
   * The transaction that marks a job as cancelled. Epoch and writer stay the owner's; only the mark
   * is added, guarded by the record's revision.
   */
  Transaction cancel(JobId id, Unfinished job, Form form) {
    JobRecord marked = job.record().markedCancelled();
    String key = JobRecord.liveKey(id);
    return new Transaction()
        .guard(key, job.revision())
        .write(key, form == Form.COMPACT ? marked.writeCompact() : marked.write());
  }
}
