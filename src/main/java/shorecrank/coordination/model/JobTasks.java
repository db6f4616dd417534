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
 * The tasks of one job: which of them are done, which may be running on a machine, and which are
 * free to be placed.
 *
 * <p>A task is free if it is not done, has no attempt, and no worker runs an attempt of it that the
 * job's record does not name (an unrecorded task).
 */
public final class JobTasks {
  private final int size;
  private final BitSet done = new BitSet();

  /** The tasks that are not free to be placed. */
  private final BitSet unavailable = new BitSet();

  /** Attempts by task index. An attempt stays until it can no longer run on its machine. */
  private final Int2ObjectAVLTreeMap<TaskAttempt> attempts = new Int2ObjectAVLTreeMap<>();

  /** How many attempts of a task run although the record does not name them, by task index. */
  private final Int2IntOpenHashMap unrecordedTasks = new Int2IntOpenHashMap();

  /**
   * Exited attempts that the committed record may still name, with the sequence number of the write
   * that removes them from it.
   */
  private final Map<TaskAttemptId, Long> exits = new HashMap<>();

  private long lastAttemptNumber;

  JobTasks(int size) {
    this.size = size;
  }

  /** Takes over which tasks are done and the last attempt number from a record. */
  void adopt(BitSet recordedDone, long recordedAttemptNumber) {
    lastAttemptNumber = Math.max(lastAttemptNumber, recordedAttemptNumber);
    done.clear();
    done.or(recordedDone);
    unavailable.or(done);
    exits.clear();
  }

  // ---- done ------------------------------------------------------------------------------------

  /** Reports whether a task has succeeded. */
  public boolean isDone(int index) {
    return done.get(index);
  }

  /** Returns how many tasks have succeeded. */
  public int doneCount() {
    return done.cardinality();
  }

  /** Reports whether all tasks have succeeded. */
  public boolean isComplete() {
    return done.cardinality() == size;
  }

  /** Marks a task as succeeded. */
  public void markDone(int index) {
    done.set(index);
    unavailable.set(index);
  }

  /** Returns a copy of the set of tasks that have succeeded. */
  BitSet copyOfDone() {
    return (BitSet) done.clone();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** Returns the attempt of a task, or null if the task has none. */
  public TaskAttempt attempt(int index) {
    return attempts.get(index);
  }

  /** Returns a live view of all attempts in task order; the caller must not change it. */
  public Collection<TaskAttempt> attempts() {
    return attempts.values();
  }

  /** Returns all attempts in task order, as a copy for callers that remove attempts meanwhile. */
  public List<TaskAttempt> copyOfAttempts() {
    return new ArrayList<>(attempts.values());
  }

  /** Returns how many tasks have an attempt. */
  public int attemptCount() {
    return attempts.size();
  }

  /** Reports whether any task has an attempt. */
  public boolean hasAttempts() {
    return !attempts.isEmpty();
  }

  /** Reports whether this attempt is its task's current one, and not an earlier one. */
  public boolean isCurrent(TaskAttempt attempt) {
    return attempts.get(attempt.index()) == attempt;
  }

  /** Adds an attempt to its task and to its machine. */
  void add(TaskAttempt attempt) {
    attempts.put(attempt.index(), attempt);
    unavailable.set(attempt.index());
    attempt.machine().add(attempt);
  }

  /** Removes an attempt from its machine, and from its task if it is the current one there. */
  void remove(TaskAttempt attempt) {
    if (isCurrent(attempt)) {
      attempts.remove(attempt.index());
      release(attempt.index());
    }
    attempt.machine().remove(attempt);
  }

  private void release(int index) {
    if (!done.get(index) && !attempts.containsKey(index) && !unrecordedTasks.containsKey(index)) {
      unavailable.clear(index);
    }
  }

  /** Reports whether any task was ever placed, which implies that the dependencies were met. */
  public boolean wasPlaced() {
    return lastAttemptNumber > 0;
  }

  /** Returns the highest attempt number used so far; 0 if there was no attempt. */
  long lastAttemptNumber() {
    return lastAttemptNumber;
  }

  /** Returns the attempt number for the next placement of tasks on one machine. */
  public AttemptNumber nextAttemptNumber() {
    return new AttemptNumber(lastAttemptNumber + 1);
  }

  /** Marks the next attempt number as used, so that no later attempt gets it. */
  public void useAttemptNumber() {
    lastAttemptNumber++;
  }

  // ---- free tasks ------------------------------------------------------------------------------

  /** Returns how many tasks are free to be placed, whether or not the job itself has to wait. */
  int freeCount() {
    return Math.max(0, size - unavailable.cardinality());
  }

  /** Returns the index of the first free task from an index on, or -1 if there is none. */
  public int nextFree(int from) {
    int index = unavailable.nextClearBit(from);
    return index < size ? index : -1;
  }

  // ---- unrecorded tasks ------------------------------------------------------------------------

  /**
   * Records that a machine runs an attempt of the task that the record does not name. The task must
   * not start on another machine meanwhile.
   */
  void markUnrecorded(int index) {
    unavailable.set(index);
    unrecordedTasks.addTo(index, 1);
  }

  /** Records that an unrecorded attempt of the task no longer runs on its machine. */
  void unmarkUnrecorded(int index) {
    if (unrecordedTasks.addTo(index, -1) <= 1) {
      unrecordedTasks.remove(index);
    }
    release(index);
  }

  /** Reports whether any machine runs an attempt that the record does not name. */
  public boolean hasUnrecorded() {
    return !unrecordedTasks.isEmpty();
  }

  // ---- exits -----------------------------------------------------------------------------------

  /**
   * Records that an attempt has exited.
   *
   * @param writeSequence the sequence number of the write that will remove it from the record
   */
  public void recordExit(TaskAttemptId attempt, long writeSequence) {
    exits.put(attempt, writeSequence);
  }

  /** Reports whether an attempt has exited and no write without it is known to be committed. */
  public boolean hasPendingExit(TaskAttemptId attempt) {
    return exits.containsKey(attempt);
  }

  /**
   * Reports whether the record no longer names an attempt that has exited.
   *
   * @param committedSequence the sequence number of the last committed write
   */
  public boolean isExitRecorded(TaskAttemptId attempt, long committedSequence) {
    Long recorded = exits.get(attempt);
    return recorded == null || recorded <= committedSequence;
  }

  /**
   * Removes the exits of attempts that the record no longer names.
   *
   * @param committedSequence the sequence number of the last committed write
   */
  void removeRecordedExits(long committedSequence) {
    exits.values().removeIf(sequence -> sequence <= committedSequence);
  }

  // ---- record ----------------------------------------------------------------------------------

  /** Returns the attempts as ranges for the record: adjacent tasks placed together form one. */
  List<AttemptRange> ranges() {
    List<AttemptRange> ranges = new ArrayList<>();
    TaskAttempt first = null;
    int end = 0;
    for (TaskAttempt attempt : attempts.values()) {
      // A range may include done tasks: readers of the record ignore those.
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
