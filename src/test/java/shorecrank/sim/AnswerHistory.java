package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/**
 * The jobs that users have submitted, and what the answers to users have said about them so far.
 * The rules of the {@link Checker} compare later answers and the state of the workers with it.
 */
final class AnswerHistory {
  /** The phase of a job whose tasks have all completed. */
  static final String DONE = "done";

  /** The phase of a cancelled job. */
  static final String CANCELLED = "withdrawn";

  private static final String ACCEPTED = "accepted";
  private static final String UNKNOWN = "unknown";

  /**
   * The acceptance of a job.
   *
   * @param submittedAtMs the simulated time of the job's first submission, in milliseconds
   * @param delayMs the milliseconds from the first submission until the user was told that the job
   *     is accepted
   */
  record Acceptance(long submittedAtMs, long delayMs) {}

  private final Simulation sim;
  private final Map<String, Long> submittedAtMs = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final List<Acceptance> acceptances = new ArrayList<>();
  private final Map<String, Integer> doneTasks = new HashMap<>();
  private final Map<String, String> finalPhases = new HashMap<>();
  private final Map<String, Long> cancelledAtMs = new HashMap<>();

  AnswerHistory(Simulation sim) {
    this.sim = sim;
  }

  /** Reports whether the phase is a final one: done or cancelled. */
  static boolean isFinalPhase(String phase) {
    return phase.equals(DONE) || phase.equals(CANCELLED);
  }

  /** Records the submission of a job. Only the time of the first submission is kept. */
  void submitted(String job) {
    submittedAtMs.putIfAbsent(job, sim.now());
  }

  /**
   * Returns the simulated time in milliseconds at which the job was first submitted, or the current
   * time if it has not been submitted.
   */
  long submittedAtMs(String job) {
    return submittedAtMs.getOrDefault(job, sim.now());
  }

  /**
   * Returns what users have been told about the job so far. It is taken when a request is sent,
   * because the answer to that request must not be older.
   */
  KnownJobState snapshot(String job) {
    return new KnownJobState(
        isAccepted(job),
        finalPhases.getOrDefault(job, ""),
        doneTasks.getOrDefault(job, 0),
        sim.now());
  }

  /**
   * Records an answer that the rules have checked.
   *
   * @param known whether any user has submitted the job
   */
  void add(UserAnswer answer, boolean known) {
    String job = answer.job();
    if (answer.isOk() && answer.body().has("done")) {
      doneTasks.merge(job, answer.body().path("done").asInt(), Math::max);
    }
    if (!answer.isOk() || !known) {
      return;
    }
    if (accepted.add(job)) {
      long submitted = submittedAtMs(job);
      acceptances.add(new Acceptance(submitted, sim.now() - submitted));
    }
    if (isFinalPhase(answer.phase())) {
      finalPhases.put(job, answer.phase());
    }
    if (answer.phase().equals(CANCELLED)) {
      cancelledAtMs.putIfAbsent(job, sim.now());
    }
  }

  /** Reports whether a user was told that the job is accepted. */
  boolean isAccepted(String job) {
    return accepted.contains(job);
  }

  /** Returns all jobs that users were told are accepted. */
  Set<String> accepted() {
    return Collections.unmodifiableSet(accepted);
  }

  /** Returns the acceptances of all jobs, in the order of acceptance. */
  List<Acceptance> acceptances() {
    return Collections.unmodifiableList(acceptances);
  }

  /**
   * Returns the final phase of the job if a user was told it, otherwise {@code accepted} or {@code
   * unknown}.
   */
  String phase(String job) {
    return finalPhases.getOrDefault(job, isAccepted(job) ? ACCEPTED : UNKNOWN);
  }

  /** Reports whether a user was told that the job is done. */
  boolean isDone(String job) {
    return phase(job).equals(DONE);
  }

  /** Reports whether no user was told that the job is accepted. */
  boolean isUnknown(String job) {
    return phase(job).equals(UNKNOWN);
  }

  /** Reports whether a user was told that the job is done or cancelled. */
  boolean isOver(String job) {
    return finalPhases.containsKey(job);
  }

  /** Returns the number of jobs that users were told are done or cancelled. */
  int endedJobCount() {
    return finalPhases.size();
  }

  /**
   * Returns the simulated time in milliseconds at which a user was first told that the job is
   * cancelled, or empty if none was.
   */
  OptionalLong cancelledAtMs(String job) {
    Long at = cancelledAtMs.get(job);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /**
   * Calls the consumer with each job that users were told is cancelled, and with the time at which
   * they were first told, in milliseconds.
   */
  void forEachCancelled(ObjLongConsumer<String> consumer) {
    cancelledAtMs.forEach(consumer::accept);
  }
}
