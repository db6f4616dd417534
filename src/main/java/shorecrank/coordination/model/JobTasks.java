package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * The tasks of one job: which are done, which run or may run somewhere, and which are free to be
 * placed.
 *
 * <p>A task is free only if it is not done, has no attempt, and no attempt of it runs that no
 * record names.
 */
public final class JobTasks {
  private final int size;
  private final BitSet done = new BitSet();

  /** All tasks that are not free to be placed. */
  private final BitSet taken = new BitSet();

  /** Attempts by task index, until they are surely off their machines. */
  private final Int2ObjectAVLTreeMap<TaskAttempt> attempts = new Int2ObjectAVLTreeMap<>();

  /** How many attempts of a task run that no record names, by task index. */
  private final Int2IntOpenHashMap unrecordedTasks = new Int2IntOpenHashMap();

  /** Exits that were seen and are not yet recorded, with the write that will hold them. */
  private final Map<TaskAttemptId, Long> exits = new HashMap<>();

  private long lastAttemptNumber;

  JobTasks(int size) {
    this.size = size;
  }

  /** Takes over what a record says of the tasks, but for its attempts. */
  void adopt(BitSet recordedDone, long recordedAttemptNumber) {
    lastAttemptNumber = Math.max(lastAttemptNumber, recordedAttemptNumber);
    done.clear();
    done.or(recordedDone);
    taken.or(done);
    exits.clear();
  }

  // ---- done ------------------------------------------------------------------------------------

  /** Whether a task has succeeded. */
  public boolean isDone(int index) {
    return done.get(index);
  }

  /** How many tasks have succeeded. */
  public int doneCount() {
    return done.cardinality();
  }

  /** Whether all tasks have succeeded. */
  public boolean isComplete() {
    return done.cardinality() == size;
  }

  /** A task has succeeded. */
  public void markDone(int index) {
    done.set(index);
    taken.set(index);
  }

  /** The tasks that have succeeded, as of now. */
  BitSet copyOfDone() {
    return (BitSet) done.clone();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** The attempt of a task; null if it has none. */
  public TaskAttempt attempt(int index) {
    return attempts.get(index);
  }

  /** All attempts in the order of their tasks; not to be changed by the caller. */
  public Collection<TaskAttempt> attempts() {
    return attempts.values();
  }

  /** All attempts in the order of their tasks, for a caller that removes some of them. */
  public List<TaskAttempt> copyOfAttempts() {
    return new ArrayList<>(attempts.values());
  }

  /** How many tasks have an attempt. */
  public int attemptCount() {
    return attempts.size();
  }

  /** Whether any task has an attempt. */
  public boolean hasAttempts() {
    return !attempts.isEmpty();
  }

  /** Whether this very attempt is the one that its task has. */
  public boolean isCurrent(TaskAttempt attempt) {
    return attempts.get(attempt.index()) == attempt;
  }

  /** Adds an attempt here and on its machine. */
  void add(TaskAttempt attempt) {
    attempts.put(attempt.index(), attempt);
    taken.set(attempt.index());
    attempt.machine().add(attempt);
  }

  /** Removes an attempt here and from its machine. */
  void remove(TaskAttempt attempt) {
    if (isCurrent(attempt)) {
      attempts.remove(attempt.index());
      release(attempt.index());
    }
    attempt.machine().remove(attempt);
  }

  private void release(int index) {
    if (!done.get(index) && !attempts.containsKey(index) && !unrecordedTasks.containsKey(index)) {
      taken.clear(index);
    }
  }

  /** Whether any attempt was ever numbered, so that all that the job needs was done. */
  public boolean wasPlaced() {
    return lastAttemptNumber > 0;
  }

  /** The highest number of an attempt so far; 0 if there was none. */
  long lastAttemptNumber() {
    return lastAttemptNumber;
  }

  /** The number that the next attempts get. */
  public AttemptNumber nextAttemptNumber() {
    return new AttemptNumber(lastAttemptNumber + 1);
  }

  /** The next attempt number has been given away and is never used again. */
  public void takeAttemptNumber() {
    lastAttemptNumber++;
  }

  // ---- tasks that are free ---------------------------------------------------------------------

  /** How many tasks are free to be placed, if nothing holds the whole job back. */
  int freeCount() {
    return Math.max(0, size - taken.cardinality());
  }

  /** The first free task from an index on; -1 if there is none. */
  public int nextFree(int from) {
    int index = taken.nextClearBit(from);
    return index < size ? index : -1;
  }

  // ---- unrecorded tasks ------------------------------------------------------------------------

  /** An attempt that no record names is on a machine: the task must not start elsewhere. */
  void markUnrecorded(int index) {
    taken.set(index);
    unrecordedTasks.addTo(index, 1);
  }

  /** An attempt that no record names is off its machine. */
  void unmarkUnrecorded(int index) {
    if (unrecordedTasks.addTo(index, -1) <= 1) {
      unrecordedTasks.remove(index);
    }
    release(index);
  }

  /** Whether attempts run that no record names. */
  public boolean hasUnrecorded() {
    return !unrecordedTasks.isEmpty();
  }

  // ---- exits -----------------------------------------------------------------------------------

  /** An exit was seen; a write of that number will hold it. */
  public void recordExit(TaskAttemptId attempt, long writeSequence) {
    exits.put(attempt, writeSequence);
  }

  /** Whether an exit was seen that is not forgotten as recorded. */
  public boolean hasPendingExit(TaskAttemptId attempt) {
    return exits.containsKey(attempt);
  }

  /** Whether no record names the attempt any more, given the last write that was committed. */
  public boolean isExitRecorded(TaskAttemptId attempt, long committedSequence) {
    Long recorded = exits.get(attempt);
    return recorded == null || recorded <= committedSequence;
  }

  /** Forgets exits that a committed write holds. */
  void forgetRecordedExits(long committedSequence) {
    exits.values().removeIf(sequence -> sequence <= committedSequence);
  }

  // ---- record ----------------------------------------------------------------------------------

  /** The attempts as a record holds them: neighbouring tasks placed together are one range. */
  List<AttemptRange> ranges() {
    List<AttemptRange> ranges = new ArrayList<>();
    TaskAttempt first = null;
    int end = 0;
    for (TaskAttempt attempt : attempts.values()) {
      // A range may span tasks that are done: they do not count as live.
      if (first != null
          && attempt.machine() == first.machine()
          && attempt.incarnation().equals(first.incarnation())
          && attempt.number().equals(first.number())
          && done.nextClearBit(end) >= attempt.index()) {
        end = attempt.index() + 1;
        continue;
      }
      if (first != null) {
        ranges.add(range(first, end));
      }
      first = attempt;
      end = attempt.index() + 1;
    }
    if (first != null) {
      ranges.add(range(first, end));
    }
    return ranges;
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
