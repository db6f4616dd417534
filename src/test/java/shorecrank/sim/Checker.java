package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import shorecrank.sim.UserRequest.Kind;

/** Shows what happens in a run to all rules, and keeps what broke them. */
final class Checker {
  private final World world;
  private final Violations violations;
  private final AnswerHistory answers;
  private final TaskTracker tasks;
  private final RolloutRule rolloutRule;
  private final ShareRule shareRule;
  private final List<Rule> rules;

  Checker(World world) {
    this.world = world;
    this.violations = new Violations(world.sim);
    this.answers = new AnswerHistory(world.sim);
    this.tasks = new TaskTracker(world.sim);
    this.rolloutRule = new RolloutRule(world, this);
    this.shareRule = new ShareRule(world, this);
    this.rules =
        List.of(
            new DependencyRule(world, this),
            new SingleExecutionRule(world, this),
            new QuotaRule(world, this),
            new RecordedQuotaRule(world, this),
            new PlacementConstraintRule(world, this),
            new CancellationRule(world, this),
            new MonotonicAnswerRule(world, this),
            new JobRetentionRule(world, this),
            new UnknownJobRule(world, this),
            new CompletionRule(world, this),
            new WriteAheadRule(world, this),
            new SingleOwnerRule(world, this),
            rolloutRule,
            shareRule,
            new AssignmentRule(world, this),
            new WaitingRule(world, this),
            new FairnessRule(world, this));
  }

  /** What users have been told. */
  AnswerHistory answers() {
    return answers;
  }

  /** What runs, and what was started. */
  TaskTracker tasks() {
    return tasks;
  }

  /** What broke a rule, in the order of time; only the first are kept. */
  List<String> violations() {
    return violations.texts();
  }

  /** How often the feature level rose and fell. */
  RolloutRule rollout() {
    return rolloutRule;
  }

  /** What moves of machines have written. */
  ShareRule shares() {
    return shareRule;
  }

  /** A rule is broken; the text begins with its name. */
  void report(String text) {
    violations.add(text);
  }

  /** A user submits a job, maybe again. */
  void submitted(String job) {
    answers.submitted(job);
  }

  /** A user has an answer. */
  void answered(UserAnswer answer) {
    if (answer.kind() != Kind.MALFORMED) {
      rules.forEach(rule -> rule.answered(answer));
      answers.add(answer, world.jobs.isSubmitted(answer.job()));
    }
  }

  /** A user's request is over, maybe without an answer. */
  void requestFinished(String job, long sentAtMs, boolean isAnswered) {
    rules.forEach(rule -> rule.requestFinished(job, sentAtMs, isAnswered));
  }

  /** A task is on a machine from now on. */
  void started(SimulatedWorker worker, SimulatedTask task) {
    JobPlan plan = world.jobs.plan(task.job());
    boolean cancelled = answers.cancelledAtMs(task.job()).isPresent();
    Set<String> machinesBefore = tasks.start(worker, task, plan, cancelled);
    TaskStart start = new TaskStart(worker, task.id(), task.job(), plan, machinesBefore);
    rules.forEach(rule -> rule.started(start));
  }

  /** A task is on a machine no more. */
  void stopped(SimulatedWorker worker, SimulatedTask task) {
    tasks.stop(worker, task, world.jobs.plan(task.job()));
  }

  /** A worker is about to carry a start out. */
  void startCommanded(SimulatedWorker worker, String task, long attempt) {
    rules.forEach(rule -> rule.startCommanded(worker, task, attempt));
  }

  /** A worker is about to forget an exited task. */
  void reapCommanded(SimulatedWorker worker, String task, long attempt) {
    rules.forEach(rule -> rule.reapCommanded(worker, task, attempt));
  }

  /** A controller in this process has made a round. */
  void roundCompleted(ControllerNode node) {
    rules.forEach(rule -> rule.roundCompleted(node));
  }

  /** The state service is about to apply a transaction. */
  void beforeTransaction(JsonNode operations) {
    rules.forEach(rule -> rule.beforeTransaction(operations));
  }

  /** The run is over. */
  void end() {
    rules.forEach(Rule::ended);
  }
}
