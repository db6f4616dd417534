package shorecrank.coordination.shard;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Tracks which machines the job records of a shard may name in the state service, including those
 * named by writes that are unanswered and may still be applied.
 *
 * <p>A write is settled by its own answer, or once the record is known at a later revision than the
 * one that guards the write. Until an owner has written a record itself, a write of an earlier
 * owner may still add any machine to it.
 */
final class MachineReferences {
  /** An unanswered write. */
  private record PendingWrite(long sequence, Revision guard, Set<MachineName> machines) {}

  /** A record as last known, and the writes that may still replace it. */
  private static final class Reference {
    Revision revision = Revision.ABSENT;
    Set<MachineName> stored = Set.of();
    final List<PendingWrite> pending = new ArrayList<>();
    boolean writableByOthers;
  }

  private final boolean tracking;
  private final Map<JobId, Reference> references = new HashMap<>();
  private final Object2IntOpenHashMap<MachineName> counts = new Object2IntOpenHashMap<>();
  private int writableByOthers;

  /** Creates an instance that tracks the machines named by records. */
  MachineReferences() {
    this(true);
  }

  private MachineReferences(boolean tracking) {
    this.tracking = tracking;
  }

  /**
   * Returns an instance that tracks nothing, for a single shard, where no machine is handed over.
   */
  static MachineReferences disabled() {
    return new MachineReferences(false);
  }

  /** Reports whether machines are tracked; if not, updates have no effect. */
  boolean isTracking() {
    return tracking;
  }

  private static Set<MachineName> machinesOf(JobRecord record) {
    Set<MachineName> machines = new HashSet<>();
    for (AttemptRange range : record.live()) {
      machines.add(range.machine());
    }
    return machines;
  }

  /**
   * Updates a job's references after its record was read, as {@link #recordRead(JobId, Revision,
   * Set, boolean)} does with the machines that the record names.
   */
  void recordRead(JobId job, Revision revision, JobRecord record, boolean othersMayWrite) {
    if (tracking) {
      recordRead(job, revision, machinesOf(record), othersMayWrite);
    }
  }

  /**
   * Updates a job's references after its record was read.
   *
   * @param revision the record's revision; the machines count only if it is later than the one
   *     known
   * @param machines the machines that the record names
   * @param othersMayWrite whether another process's write may still change the record: this owner
   *     has not written it yet, or has been refused by a higher epoch
   */
  void recordRead(JobId job, Revision revision, Set<MachineName> machines, boolean othersMayWrite) {
    if (!tracking) {
      return;
    }
    Reference reference = references.computeIfAbsent(job, absent -> new Reference());
    if (revision.isAfter(reference.revision)) {
      settle(reference, revision, machines);
    }
    setWritableByOthers(reference, othersMayWrite);
  }

  /**
   * Records that a write of a job's record was sent.
   *
   * @param guard the revision of the record that guards the write
   * @param record the record that the write stores
   */
  void recordSent(JobId job, long sequence, Revision guard, JobRecord record) {
    if (tracking) {
      recordSent(job, sequence, guard, machinesOf(record));
    }
  }

  /**
   * Records that a write of a job's record was sent.
   *
   * @param guard the revision of the record that guards the write
   * @param machines the machines that the written record names
   */
  void recordSent(JobId job, long sequence, Revision guard, Set<MachineName> machines) {
    if (!tracking) {
      return;
    }
    Reference reference = references.computeIfAbsent(job, absent -> new Reference());
    reference.pending.add(new PendingWrite(sequence, guard, machines));
    addToCounts(machines, 1);
  }

  /**
   * Records that a write was committed. Earlier writes can't be applied any more, since their
   * guards name an earlier revision.
   */
  void recordCommitted(JobId job, long sequence, Revision revision) {
    Reference reference = references.get(job);
    if (reference == null) {
      return;
    }
    for (PendingWrite write : List.copyOf(reference.pending)) {
      if (write.sequence == sequence) {
        settle(reference, revision, write.machines);
        setWritableByOthers(reference, false);
      }
    }
  }

  /** Records that a write was refused and can't be applied any more. */
  void recordRefused(JobId job, long sequence) {
    Reference reference = references.get(job);
    if (reference != null) {
      reference.pending.removeIf(
          write -> {
            boolean matches = write.sequence == sequence;
            if (matches) {
              addToCounts(write.machines, -1);
            }
            return matches;
          });
    }
  }

  /** Records that a job's record has been deleted. */
  void recordRemoved(JobId job) {
    Reference reference = references.remove(job);
    if (reference != null) {
      settle(reference, reference.revision, Set.of());
      setWritableByOthers(reference, false);
    }
  }

  /** Removes the references of all jobs, before all records are read again. */
  void clear() {
    references.clear();
    counts.clear();
    writableByOthers = 0;
  }

  /** Reports whether any record may name the machine, now or once a late write is applied. */
  boolean mayBeNamed(MachineName machine) {
    return writableByOthers > 0 || counts.getInt(machine) > 0;
  }

  private void settle(Reference reference, Revision revision, Set<MachineName> machines) {
    addToCounts(reference.stored, -1);
    reference.stored = Set.copyOf(machines);
    addToCounts(reference.stored, 1);
    reference.revision = revision;
    reference.pending.removeIf(
        write -> {
          boolean settled = !write.guard.equals(revision);
          if (settled) {
            addToCounts(write.machines, -1);
          }
          return settled;
        });
  }

  private void setWritableByOthers(Reference reference, boolean writable) {
    if (reference.writableByOthers != writable) {
      reference.writableByOthers = writable;
      writableByOthers += writable ? 1 : -1;
    }
  }

  private void addToCounts(Set<MachineName> machines, int delta) {
    for (MachineName machine : machines) {
      if (counts.addTo(machine, delta) + delta == 0) {
        counts.removeInt(machine);
      }
    }
  }
}
