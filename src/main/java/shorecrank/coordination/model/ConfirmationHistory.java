package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;

/** Which cancellations this controller has confirmed to users itself, and when first. */
final class ConfirmationHistory {
  /** So long confirmations are kept to be told to others; a grace period is never that long. */
  private static final int KEPT_MS = 900_000;

  /**
   * What was confirmed lately.
   *
   * @param spanMs how far back the list is complete
   * @param jobs the jobs, the last first
   */
  record Recent(long spanMs, List<JobId> jobs) {}

  /** The first confirmation of each job, in the order of time. */
  private final Map<JobId, MonotonicTime> confirmedAt = new LinkedHashMap<>();

  /** From when on the history is complete: this process's start, or what was dropped for room. */
  private MonotonicTime completeFrom = MonotonicTime.NEVER;

  private final int most;

  /**
   * @param most how many confirmations are kept
   */
  ConfirmationHistory(int most) {
    this.most = most;
  }

  /**
   * A user is being told that a job is cancelled.
   *
   * @return whether it is the first time
   */
  boolean add(JobId id, MonotonicTime now) {
    if (confirmedAt.putIfAbsent(id, now) != null) {
      return false;
    }
    if (confirmedAt.size() > most) {
      dropOldest();
    }
    return true;
  }

  /** Begins the history if it has not begun, and drops what nobody asks for any more. */
  void tick(MonotonicTime now) {
    if (completeFrom == MonotonicTime.NEVER) {
      completeFrom = now;
    }
    while (!confirmedAt.isEmpty() && now.since(confirmedAt.values().iterator().next()) > KEPT_MS) {
      dropOldest();
    }
  }

  private void dropOldest() {
    Iterator<Map.Entry<JobId, MonotonicTime>> entries = confirmedAt.entrySet().iterator();
    completeFrom = entries.next().getValue();
    entries.remove();
  }

  /**
   * What was confirmed in the last milliseconds.
   *
   * @param mostJobs how many jobs may be named; if there are more, the span is shorter
   */
  Recent recent(long withinMs, int mostJobs, MonotonicTime now) {
    boolean hasBegun = completeFrom != MonotonicTime.NEVER;
    long spanMs = Math.min(withinMs, hasBegun ? now.since(completeFrom) : 0);
    List<JobId> jobs = new ArrayList<>();
    List<Map.Entry<JobId, MonotonicTime>> all =
        new ArrayList<>(withinMs > 0 ? confirmedAt.entrySet() : List.of());
    for (int i = all.size() - 1; i >= 0 && now.since(all.get(i).getValue()) <= spanMs; i--) {
      if (jobs.size() == mostJobs) {
        spanMs = now.since(all.get(i).getValue());
        break;
      }
      jobs.add(all.get(i).getKey());
    }
    return new Recent(spanMs, jobs);
  }
}
