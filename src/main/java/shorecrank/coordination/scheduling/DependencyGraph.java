package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;

/**
 * Which of a part's jobs wait for which others, from their records.
 *
 * <p>A job is ready once each job that it needs is recorded as done: by an own write that was
 * committed, or by a look at the final record, which never changes. Where one of them is cancelled,
 * so is the job. Prerequisites may be any other owner's: their marks and ends are seen in the
 * store.
 */
public final class DependencyGraph {
  private static final int CALL_MS = 1500;
  private static final int MAX_LOOKS = 4;

  /** A look that told nothing is repeated after so long. */
  private static final int AGAIN_MS = 500;

  /** So many ends of a chain are kept in mind for one job, the closest first. */
  private static final int MAX_DUES = 4;

  /** When a job must have ended for the sake of one that needs it, on the wall clock. */
  public record Due(double byMs, String jobClass) {}

  /** What those that need a job make of it. */
  private record Pressure(Priority priority, List<Due> dues) {}

  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final CancellationLog cancellations;
  private final Consumer<Job> cancel;

  /** Jobs that wait, by what they wait for. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /** Prerequisites whose state is to be looked up. */
  private final Set<JobId> unknown = new LinkedHashSet<>();

  private final Set<JobId> looking = new HashSet<>();
  private MonotonicTime lookAt = new MonotonicTime(0);

  private final Map<Job, Pressure> pressures = new HashMap<>();
  private boolean changed;
  private boolean cycleTold;

  /**
   * @param cancel what is to be done with a job that needs a cancelled one
   */
  public DependencyGraph(
      StepContext context,
      Map<JobId, Job> jobs,
      CancellationLog cancellations,
      Consumer<Job> cancel) {
    this.context = context;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.cancel = cancel;
  }

  public void add(Job j) {
    for (JobId p : List.copyOf(j.scheduling().unmetDependencies())) {
      if (cancellations.known(p)) {
        cancelled(j);
        return;
      }
      dependents.computeIfAbsent(p, k -> new LinkedHashSet<>()).add(j);
      changed = true;
      if (!jobs.containsKey(p)) {
        unknown.add(p);
      }
    }
  }

  public void forget(Job j) {
    changed |= pressures.remove(j) != null;
    for (JobId p : j.scheduling().unmetDependencies()) {
      Set<Job> s = dependents.get(p);
      if (s != null && s.remove(j) && s.isEmpty()) {
        dependents.remove(p);
      }
    }
  }

  public void clear() {
    dependents.clear();
    unknown.clear();
    pressures.clear();
  }

  /** A final record is there. */
  public void ended(JobId id, JobState phase) {
    unknown.remove(id);
    if (phase != JobState.DONE) {
      cancelled(id);
      return;
    }
    Set<Job> waiting = dependents.remove(id);
    if (waiting == null) {
      return;
    }
    changed = true;
    for (Job j : waiting) {
      if (j.scheduling().dependencyMet(id, context.wallMs())) {
        context.count("job.ready");
      }
    }
  }

  /** The record of a job that may be another owner's is no more. */
  public void dropped(JobId id) {
    if (dependents.containsKey(id)) {
      unknown.add(id);
      lookAt = context.now();
    }
  }

  /** A committed mark of a cancellation was seen, or follows from one. */
  public void cancelled(JobId id) {
    Set<Job> waiting = dependents.remove(id);
    if (waiting != null) {
      List.copyOf(waiting).forEach(this::cancelled);
    }
  }

  private void cancelled(Job j) {
    if (j.isCancelled()) {
      return;
    }
    // Its record names the other for good, so this is as final as the mark itself.
    cancellations.learn(j.id());
    cancel.accept(j);
    changed = true;
    cancelled(j.id());
  }

  /** Looks up what is not known, a few at a time. */
  public void tick() {
    if (unknown.isEmpty() || context.now().before(lookAt)) {
      return;
    }
    ArrayDeque<JobId> next = new ArrayDeque<>(unknown);
    while (!next.isEmpty()
        && looking.size() < MAX_LOOKS
        && context.requests.has(1, context.now())) {
      JobId id = next.poll();
      if (!dependents.containsKey(id)) {
        unknown.remove(id);
      } else if (looking.add(id)) {
        look(id);
      }
    }
  }

  private void again(JobId id) {
    looking.remove(id);
    unknown.add(id);
    lookAt = context.now().plus(AGAIN_MS);
  }

  /** In the order in which a job moves, so that one that ends meanwhile is not missed. */
  private void look(JobId id) {
    unknown.remove(id);
    context.state(
        "GET",
        StoreMessages.key(JobRecord.liveKey(id)),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            looking.remove(id);
            // While it lives, the watch shows its mark or its end.
            if (JobRecord.isMarked(StoreMessages.entry(body).value())) {
              cancellations.learn(id);
              cancelled(id);
            }
          } else if (status == 404) {
            lookAtEnd(id);
          } else {
            again(id);
          }
        });
  }

  private void lookAtEnd(JobId id) {
    context.state(
        "GET",
        StoreMessages.key(JobRecord.finalKey(id)),
        null,
        CALL_MS,
        (status, body) -> {
          Final end = status == 200 ? Final.read(StoreMessages.entry(body).value()) : null;
          if (end != null) {
            looking.remove(id);
            ended(id, end.phase());
          } else {
            if (status == 200) {
              context.unreadable(JobRecord.finalKey(id));
            }
            if (status == 404) {
              context.error("job %s is needed by others and has no record", id);
            }
            again(id);
          }
        });
  }

  /**
   * All jobs whose cancellation would be this job's too. Null if one of them is not of this part,
   * or if there are too many to compare.
   */
  public Collection<Job> allNeeded(Job j, int most) {
    Set<Job> all = new LinkedHashSet<>();
    ArrayDeque<Job> open = new ArrayDeque<>(List.of(j));
    while (!open.isEmpty()) {
      for (JobId p : open.poll().scheduling().unmetDependencies()) {
        Job needed = jobs.get(p);
        if (needed == null) {
          return null;
        }
        if (all.add(needed)) {
          open.add(needed);
        }
        if (all.size() > most) {
          return null;
        }
      }
    }
    return all;
  }

  // ---- what presses on a job -----------------------------------------------------------------

  /**
   * Brings priorities up to date: a job counts as the most urgent of those that need it.
   *
   * @param own the deadlines of a job's own
   * @param spanMs what a job takes once it is ready
   */
  public void refresh(Function<Job, List<Due>> own, Function<Job, Double> spanMs) {
    if (!changed) {
      return;
    }
    changed = false;
    pressures.clear();
    for (JobId p : List.copyOf(dependents.keySet())) {
      Job j = jobs.get(p);
      if (j != null) {
        pressure(j, own, spanMs, new HashSet<>());
      }
    }
    jobs.values().forEach(j -> j.scheduling().setPriority(priority(j)));
  }

  private Priority priority(Job j) {
    Pressure p = pressures.get(j);
    return p == null ? j.spec().priority() : p.priority;
  }

  /** Along the critical path of each chain: what follows has to fit in before its deadline. */
  private Pressure pressure(
      Job j, Function<Job, List<Due>> own, Function<Job, Double> spanMs, Set<Job> path) {
    Pressure known = pressures.get(j);
    if (known != null) {
      return known;
    }
    if (!path.add(j)) {
      if (!cycleTold) {
        context.error("job %s needs itself, through others", j.id());
        cycleTold = true;
      }
      return new Pressure(j.spec().priority(), List.of());
    }
    Priority first = j.spec().priority();
    List<Due> dues = new ArrayList<>();
    for (Job d : dependents.getOrDefault(j.id(), Set.of())) {
      Pressure behind = pressure(d, own, spanMs, path);
      first = behind.priority.compareTo(first) < 0 ? behind.priority : first;
      double span = spanMs.apply(d);
      List<Due> ends = new ArrayList<>(own.apply(d));
      ends.addAll(behind.dues);
      ends.forEach(e -> dues.add(new Due(e.byMs - span, e.jobClass)));
    }
    path.remove(j);
    dues.sort((a, b) -> Double.compare(a.byMs, b.byMs));
    Pressure p = new Pressure(first, List.copyOf(dues.subList(0, Math.min(MAX_DUES, dues.size()))));
    pressures.put(j, p);
    return p;
  }

  /** When the job must have ended, for those that need it. */
  List<Due> dues(Job j) {
    Pressure p = pressures.get(j);
    return p == null ? List.of() : p.dues;
  }
}
