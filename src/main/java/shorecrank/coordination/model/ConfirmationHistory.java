package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * The cancellations that this controller has itself confirmed to users, with the time of the first
 * confirmation of each.
 */
final class ConfirmationHistory {
  /**
   * How long a confirmation is kept. Other controllers ask for confirmations only during a grace
   * period, which is always shorter.
   */
  private static final int RETENTION_MS = 900_000;

  /**
   * The jobs whose cancellation was confirmed lately.
   *
   * @param spanMs how far back from now the list is complete, in milliseconds
   * @param jobs the jobs, the most recently confirmed first
   */
  record Recent(long spanMs, List<JobId> jobs) {}

  /** When the cancellation of each job was first confirmed, the oldest first. */
  private final Map<JobId, MonotonicTime> confirmedAt = new LinkedHashMap<>();

  /**
   * The time since which the history is complete: when it began, or when the confirmation that was
   * dropped last was made. {@link MonotonicTime#NEVER} until the history has begun.
   */
  private MonotonicTime completeFrom = MonotonicTime.NEVER;

  private final int maxConfirmations;

  /**
   * @param maxConfirmations the maximum number of confirmations to keep
   */
  ConfirmationHistory(int maxConfirmations) {
    this.maxConfirmations = maxConfirmations;
  }

  /**
   * Records that the cancellation of a job is confirmed to a user.
   *
   * @return whether the history did not hold a confirmation of this job yet
   */
  boolean add(JobId id, MonotonicTime now) {
    if (confirmedAt.putIfAbsent(id, now) != null) {
      return false;
    }
    if (confirmedAt.size() > maxConfirmations) {
      dropOldest();
    }
    return true;
  }

  /** Begins the history if it has not begun yet, and drops confirmations that are too old. */
  void tick(MonotonicTime now) {
    if (completeFrom == MonotonicTime.NEVER) {
      completeFrom = now;
    }
    while (!confirmedAt.isEmpty()
        && now.since(confirmedAt.values().iterator().next()) > RETENTION_MS) {
      dropOldest();
    }
  }

  private void dropOldest() {
    Iterator<Map.Entry<JobId, MonotonicTime>> entries = confirmedAt.entrySet().iterator();
    completeFrom = entries.next().getValue();
    entries.remove();
  }

  /**
   * Returns the jobs whose cancellation was confirmed within the last {@code withinMs}
   * milliseconds.
   *
   * @param maxJobs the maximum number of jobs to return; if more were confirmed, the returned span
   *     is shorter than {@code withinMs}
   */
  Recent recent(long withinMs, int maxJobs, MonotonicTime now) {
    boolean hasBegun = completeFrom != MonotonicTime.NEVER;
    long spanMs = Math.min(withinMs, hasBegun ? now.since(completeFrom) : 0);
    List<JobId> jobs = new ArrayList<>();
    List<Map.Entry<JobId, MonotonicTime>> all =
        new ArrayList<>(withinMs > 0 ? confirmedAt.entrySet() : List.of());
    for (int i = all.size() - 1; i >= 0 && now.since(all.get(i).getValue()) <= spanMs; i--) {
      if (jobs.size() == maxJobs) {
        spanMs = now.since(all.get(i).getValue());
        break;
      }
      jobs.add(all.get(i).getKey());
    }
    return new Recent(spanMs, jobs);
  }
}
