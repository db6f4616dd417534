package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/** An unfinished job as its owner sees it: the record plus what is not yet written. */
public final class Job {
  public final JobSpec spec;
  public final long acceptedAtMs;
  public Revision revision;
  public Epoch epoch;
  public WriterId writer;
  public long seq;
  public long committedSeq;
  public long attemptCount;
  public boolean cancelled;
  public boolean claimed;

  /** Counts as unclaimed for its team's limit, although nobody had claimed it yet. */
  public boolean claimFirst;

  /** What the record with our revision says; a user is told this while the revision still holds. */
  public JobStatus jobStatus;

  /** The latest revision a watch has shown; above ours, somebody else has written meanwhile. */
  public Revision seenRevision = Revision.ABSENT;

  /** A transaction with it was too large; it goes alone until it is through. */
  public boolean alone;

  /** The state service has refused it for its size; it is written in the shortest form. */
  public boolean compact;

  public boolean inFlight;
  public boolean rereading;
  public WriteUrgency dirty = WriteUrgency.NONE;
  public MonotonicTime dirtySince = MonotonicTime.NEVER;
  public MonotonicTime writeAfter = MonotonicTime.NEVER;

  /** So many more ranges fit into the record; known from its last write on. */
  public int rangesLeft = Integer.MAX_VALUE;

  public final BitSet done = new BitSet();
  public final BitSet taken = new BitSet();
  public final Int2ObjectAVLTreeMap<TaskAttempt> live = new Int2ObjectAVLTreeMap<>();
  private final Int2IntOpenHashMap unrecordedTasks = new Int2IntOpenHashMap();

  /** Exits seen but not yet recorded: the write that will hold them. */
  public final Map<TaskAttemptId, Long> exits = new HashMap<>();

  /** Jobs that have to be done first, as far as they are not known to be recorded as done. */
  public final Set<JobId> unmetDependencies = new LinkedHashSet<>();

  /** Since when it waits for no other job; its acceptance if it names none. */
  public long readyAtMs;

  /** The most urgent of its own priority and of those that need it. */
  public JobSpec.Priority priority;

  public MonotonicTime placeAfter = MonotonicTime.NEVER;

  /** Seconds until it must get room to reach an aim, as found when jobs were last put in order. */
  public double slackS;

  /** Within its team's guarantee, so it waits for no other team. */
  public boolean owed;

  public final Set<MachineName> failedOn = new ObjectOpenHashSet<>();
  public int backoff;

  /** Writes of this object are numbered above it; no other of this process shares the range. */
  private final long base;

  /** The part's jobs with something to write; each puts itself there. */
  private final Set<Job> dirtyJobs;

  public Job(JobRecord r, Revision revision, long life, Set<Job> dirtyJobs) {
    this.dirtyJobs = dirtyJobs;
    this.spec = r.spec();
    this.acceptedAtMs = r.acceptedAtMs();
    this.readyAtMs = r.readyAtMs() > 0 ? r.readyAtMs() : acceptedAtMs;
    this.priority = spec.priority();
    this.unmetDependencies.addAll(spec.prerequisites());
    this.base = life << 24;
    this.seq = base;
    adoptHead(r, revision);
  }

  /** The record holds a write of this very object, so memory is as new or newer. */
  public boolean wrote(JobRecord r, WriterId me) {
    return r.writer().equals(me) && r.seq() > base;
  }

  public JobId id() {
    return spec.id();
  }

  /** Takes over all of a record but its live ranges. */
  public void adoptHead(JobRecord r, Revision st) {
    revision = st;
    jobStatus = r.jobStatus();
    epoch = r.epoch();
    writer = r.writer();
    committedSeq = seq;
    attemptCount = Math.max(attemptCount, r.attemptCount());
    if (attemptCount > 0) {
      // It was placed once, so all that it needs was recorded as done.
      unmetDependencies.clear();
    }
    cancelled |= r.cancelled();
    done.clear();
    done.or(r.done());
    taken.or(done);
    exits.clear();
  }

  public int doneCount() {
    return done.cardinality();
  }

  public boolean complete() {
    return done.cardinality() == spec.tasks();
  }

  public int queued() {
    return cancelled || !unmetDependencies.isEmpty()
        ? 0
        : Math.max(0, spec.tasks() - taken.cardinality());
  }

  public int nextQueued(int from) {
    int i = taken.nextClearBit(from);
    return i < spec.tasks() ? i : -1;
  }

  public void add(TaskAttempt t) {
    live.put(t.index(), t);
    taken.set(t.index());
    t.machine().add(t);
  }

  public void remove(TaskAttempt t) {
    if (live.get(t.index()) == t) {
      live.remove(t.index());
      release(t.index());
    }
    t.machine().remove(t);
  }

  /** An attempt that no record names is on a machine: the task must not start elsewhere. */
  void markUnrecorded(int index) {
    taken.set(index);
    unrecordedTasks.addTo(index, 1);
  }

  private void release(int index) {
    if (!done.get(index) && !live.containsKey(index) && !unrecordedTasks.containsKey(index)) {
      taken.clear(index);
    }
  }

  void unmarkUnrecorded(int index) {
    if (unrecordedTasks.addTo(index, -1) <= 1) {
      unrecordedTasks.remove(index);
    }
    release(index);
  }

  public boolean hasUnrecordedTasks() {
    return !unrecordedTasks.isEmpty();
  }

  public double ageS(long wallMs) {
    return (wallMs - acceptedAtMs) / 1000.0;
  }

  /** How long it has waited for nothing but room. */
  public double readyS(long wallMs) {
    return (wallMs - readyAtMs) / 1000.0;
  }

  /** What is still to be done, in processor seconds by the owner's estimate. */
  public double workLeft() {
    return (spec.tasks() - done.cardinality()) * Math.max(0.1, spec.cpus()) * spec.estimateS();
  }

  public void touch(WriteUrgency u, MonotonicTime now) {
    dirtyJobs.add(this);
    if (dirty == WriteUrgency.NONE) {
      dirtySince = now;
    }
    if (u.compareTo(dirty) > 0) {
      dirty = u;
    }
  }

  public JobRecord record(Epoch e, WriterId w) {
    List<AttemptRange> ranges = new ArrayList<>();
    TaskAttempt first = null;
    int end = 0;
    for (TaskAttempt t : live.values()) {
      // A range may span tasks that are done: they do not count as live.
      if (first != null
          && t.machine() == first.machine()
          && t.incarnation().equals(first.incarnation())
          && t.number().equals(first.number())
          && done.nextClearBit(end) >= t.index()) {
        end = t.index() + 1;
        continue;
      }
      if (first != null) {
        ranges.add(range(first, end));
      }
      first = t;
      end = t.index() + 1;
    }
    if (first != null) {
      ranges.add(range(first, end));
    }
    boolean waited = !spec.prerequisites().isEmpty() && unmetDependencies.isEmpty();
    return new JobRecord(
        // Once it is placed, nobody asks any more what it needed.
        attemptCount > 0 ? spec.withoutPrerequisites() : spec,
        e,
        w,
        seq,
        (BitSet) done.clone(),
        ranges,
        attemptCount,
        cancelled,
        acceptedAtMs,
        waited || readyAtMs > acceptedAtMs ? readyAtMs : 0);
  }

  private static AttemptRange range(TaskAttempt first, int end) {
    return new AttemptRange(
        first.index(),
        end - first.index(),
        first.machine().name(),
        first.incarnation(),
        first.number());
  }
}
