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

/** Encodes submissions and cancellations of jobs as transactions of the state service. */
final class JobChangeCodec {
  /** Upper bound of the bytes that a shard owner adds to a record with its first placement. */
  private static final int RESERVED_OWNER_BYTES = 256;

  private static final int BYTES_PER_KB = 1024;

  private final StepContext context;

  /** The encodings of a job record. */
  enum Form {
    /** The encoding that every version reads. */
    PLAIN,

    /** A smaller encoding, unknown to versions without job dependencies. */
    COMPACT
  }

  JobChangeCodec(StepContext context) {
    this.context = context;
  }

  /**
   * Returns the transaction that creates a job's first record. Its guards refuse it if the job has
   * a live or final record already.
   *
   * <p>The record has to leave room for what the shard owner adds, in the plain or in the compact
   * form. If the job has dependencies, the record is written in the compact form if the plain one
   * is too large. Jobs without dependencies always have the plain form, since versions without job
   * dependencies can't read the compact one.
   *
   * @return empty if the record, or the first one that its owner writes, is larger than the values
   *     that the state service accepts
   */
  Optional<Transaction> encodeCreation(JobSpec spec) {
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
    if (bytes + RESERVED_OWNER_BYTES <= limit) {
      return Optional.of(creation(spec.id(), value));
    }
    ObjectNode compact = record.writeCompact();
    boolean isPlainRequired = spec.dependencies().isEmpty();
    if (Json.bytes(compact).length + RESERVED_OWNER_BYTES > limit
        || (isPlainRequired && bytes > limit)) {
      return Optional.empty();
    }
    return Optional.of(creation(spec.id(), isPlainRequired ? value : compact));
  }

  private static Transaction creation(JobId id, ObjectNode value) {
    return new Transaction()
        .guard(JobRecord.liveKey(id), Revision.ABSENT)
        .guard(JobRecord.finalKey(id), Revision.ABSENT)
        .write(JobRecord.liveKey(id), value);
  }

  /**
   * Returns the transaction that marks a job's record as cancelled, guarded by the record's
   * revision. The record's epoch and writer remain those of the shard owner.
   */
  Transaction encodeCancellation(JobId id, Unfinished job, Form form) {
    JobRecord marked = job.record().markedCancelled();
    String key = JobRecord.liveKey(id);
    return new Transaction()
        .guard(key, job.revision())
        .write(key, form == Form.COMPACT ? marked.writeCompact() : marked.write());
  }
}
