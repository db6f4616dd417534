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

/** What users have submitted, and what they have been told since. */
final class AnswerHistory {
  /** Phase of a job whose tasks have all completed. */
  static final String DONE = "done";

  /** Phase of a cancelled job. */
  static final String CANCELLED = "withdrawn";

  private static final String ACCEPTED = "accepted";
  private static final String UNKNOWN = "unknown";

  /** When a job was first submitted, and how long after that its user was told it is accepted. */
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

  /** Whether a phase is one that a job ends with. */
  static boolean isFinalPhase(String phase) {
    return phase.equals(DONE) || phase.equals(CANCELLED);
  }

  /** A job is submitted, maybe again. */
  void submitted(String job) {
    submittedAtMs.putIfAbsent(job, sim.now());
  }

  /** When a job was first submitted. */
  long submittedAtMs(String job) {
    return submittedAtMs.getOrDefault(job, sim.now());
  }

  /** To be taken when a request is sent: an answer to it may not be older. */
  KnownJobState snapshot(String job) {
    return new KnownJobState(
        isAccepted(job),
        finalPhases.getOrDefault(job, ""),
        doneTasks.getOrDefault(job, 0),
        sim.now());
  }

  /** An answer has been checked; {@code known} tells whether anybody submitted the job. */
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

  /** Whether a user was told that the job is accepted. */
  boolean isAccepted(String job) {
    return accepted.contains(job);
  }

  /** All jobs that users were told are accepted. */
  Set<String> accepted() {
    return Collections.unmodifiableSet(accepted);
  }

  /** How long each accepted job had waited, in the order of acceptance. */
  List<Acceptance> acceptances() {
    return Collections.unmodifiableList(acceptances);
  }

  /** The end of a job if it was told, else whether it is accepted or unknown. */
  String phase(String job) {
    return finalPhases.getOrDefault(job, isAccepted(job) ? ACCEPTED : UNKNOWN);
  }

  /** Whether a user was told that the job is done. */
  boolean isDone(String job) {
    return phase(job).equals(DONE);
  }

  /** Whether no user was told that the job is accepted. */
  boolean isUnknown(String job) {
    return phase(job).equals(UNKNOWN);
  }

  /** Whether its user was told that it is done or cancelled. */
  boolean isOver(String job) {
    return finalPhases.containsKey(job);
  }

  /** How many jobs have been told done or cancelled. */
  int endedJobCount() {
    return finalPhases.size();
  }

  /** When a user was first told that the job is cancelled, if one was. */
  OptionalLong cancelledAtMs(String job) {
    Long at = cancelledAtMs.get(job);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** All jobs that users were told are cancelled, with the time. */
  void forEachCancelled(ObjLongConsumer<String> consumer) {
    cancelledAtMs.forEach(consumer::accept);
  }
}
