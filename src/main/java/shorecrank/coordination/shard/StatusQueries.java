package shorecrank.coordination.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;

/**
 * Answers where a part's jobs stand. One transaction that only compares finds all records in
 * question unchanged, so no answer is older than one given elsewhere, and a burst of questions
 * costs the state service few requests.
 */
public final class StatusQueries {
  private static final int COMPARE_MS = 1000;

  /** Takes what the store holds of a job now; null if this owner can't tell. */
  public interface StatusCallback {
    void told(JobStatus jobStatus);
  }

  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final DependencyGraph dependencies;

  /** Jobs that ended here: what never changes again needs no look at the store. */
  private final Cache<JobId, JobStatus> ended =
      Caffeine.newBuilder().maximumSize(2000).executor(Runnable::run).build();

  private final Map<JobId, List<StatusCallback>> asked = new LinkedHashMap<>();
  private boolean asking;

  StatusQueries(StepContext context, Map<JobId, Job> jobs, DependencyGraph dependencies) {
    this.context = context;
    this.dependencies = dependencies;
    this.jobs = jobs;
  }

  void ended(JobId id, JobStatus jobStatus) {
    ended.put(id, jobStatus);
  }

  void ask(JobId id, boolean owner, StatusCallback then) {
    JobStatus end = ended.getIfPresent(id);
    if (end != null) {
      then.told(end);
    } else if (!owner || !jobs.containsKey(id)) {
      then.told(null);
    } else {
      asked.computeIfAbsent(id, k -> new ArrayList<>(1)).add(then);
    }
  }

  /** The part is given up: others have to be asked. */
  void close() {
    asked.values().forEach(l -> l.forEach(t -> t.told(null)));
    asked.clear();
  }

  /** Once a round. */
  void answer() {
    if (asked.isEmpty() || asking) {
      return;
    }
    Map<JobId, List<StatusCallback>> batch = new LinkedHashMap<>();
    int max = context.config.state().txnOps() * 4;
    for (var i = asked.entrySet().iterator(); i.hasNext() && batch.size() < max; ) {
      var e = i.next();
      batch.put(e.getKey(), e.getValue());
      i.remove();
    }
    compare(batch, 2);
  }

  private void compare(Map<JobId, List<StatusCallback>> batch, int attemptCount) {
    StoreMessages.Transaction transaction = new StoreMessages.Transaction();
    Map<JobId, JobStatus> sent = new HashMap<>();
    Map<JobId, Set<String>> keys = new HashMap<>();
    Set<String> guarded = new HashSet<>();
    int max = context.config.state().txnOps() * 4;
    for (JobId id : new ArrayList<>(batch.keySet())) {
      Job j = jobs.get(id);
      if (j == null || j.jobStatus == null) {
        batch.remove(id).forEach(t -> t.told(ended.getIfPresent(id)));
        continue;
      }
      // A job that waits is cancelled with any that it needs: those must be as they were, too.
      var needed = dependencies.transitiveDependencies(j, max / 4).orElse(null);
      if (needed == null || guarded.size() + needed.size() + 1 > max) {
        batch.remove(id).forEach(t -> t.told(null));
        continue;
      }
      Set<String> mine = new HashSet<>();
      List<Job> compared = new ArrayList<>(needed);
      compared.add(j);
      for (Job one : compared) {
        String key = JobRecord.liveKey(one.id());
        mine.add(key);
        if (guarded.add(key)) {
          transaction.guard(key, one.revision);
        }
      }
      keys.put(id, mine);
      sent.put(id, j.cancelled && j.jobStatus.phase() != JobState.CANCELLED ? null : j.jobStatus);
    }
    if (batch.isEmpty()) {
      return;
    }
    asking = true;
    context.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        COMPARE_MS,
        (status, body) -> {
          asking = false;
          Set<String> failed = status == 409 ? StoreMessages.failed(body) : Set.of();
          Map<JobId, List<StatusCallback>> again = new LinkedHashMap<>();
          batch.forEach(
              (id, l) -> {
                if (status == 200) {
                  l.forEach(t -> t.told(sent.get(id)));
                } else if (status == 409
                    && attemptCount > 1
                    && !failed.isEmpty()
                    && Collections.disjoint(failed, keys.get(id))) {
                  // Whether a refusal names all that differ is not said: what it does not name
                  // is compared once more.
                  again.put(id, l);
                } else {
                  l.forEach(t -> t.told(ended.getIfPresent(id)));
                }
              });
          if (!again.isEmpty()) {
            compare(again, attemptCount - 1);
          }
        });
  }
}
