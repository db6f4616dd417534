package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import shorecrank.sim.UserRequest.Kind;

/**
 * Passes the events of a simulation run to all rules and collects the violations that they report.
 */
final class Checker {
  private final World world;
  private final Violations violations;
  private final AnswerHistory answers;
  private final TaskTracker tasks;
  private final RolloutRule rolloutRule;
  private final ShareRule shareRule;
  private final MessageSizeRule messageSizeRule;
  private final List<Rule> rules;

  Checker(World world) {
    this.world = world;
    this.violations = new Violations(world.sim);
    this.answers = new AnswerHistory(world.sim);
    this.tasks = new TaskTracker(world.sim);
    this.rolloutRule = new RolloutRule(world, this);
    this.shareRule = new ShareRule(world, this);
    this.messageSizeRule = new MessageSizeRule(violations);
    this.rules =
        List.of(
            new DependencyRule(world, this),
            new SingleExecutionRule(world, this),
            new StartedOnceRule(world, this),
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

  /** Returns what users have been told about their jobs. */
  AnswerHistory answers() {
    return answers;
  }

  /** Returns the tasks that are on machines and the counts of starts. */
  TaskTracker tasks() {
    return tasks;
  }

  /** Returns the first violations in the order of time, up to a limit. */
  List<String> violations() {
    return violations.texts();
  }

  /** Returns the rule that counts how often the feature level rose and fell. */
  RolloutRule rollout() {
    return rolloutRule;
  }

  /** Returns the rule that counts the state service operations of moves. */
  ShareRule shares() {
    return shareRule;
  }

  /**
   * Records a violation.
   *
   * @param text a description that begins with the name of the rule
   */
  void report(String text) {
    violations.add(text);
  }

  /** Records that a user submits a job; repeated submissions are allowed. */
  void submitted(String job) {
    answers.submitted(job);
  }

  /**
   * Checks and records an answer that a user has received. Answers to malformed requests are
   * ignored.
   */
  void answered(UserAnswer answer) {
    if (answer.kind() != Kind.MALFORMED) {
      rules.forEach(rule -> rule.answered(answer));
      answers.add(answer, world.jobs.isSubmitted(answer.job()));
    }
  }

  /**
   * Notifies the rules that a user's request is over.
   *
   * @param sentAtMs the simulated time at which the request was sent, in milliseconds
   * @param isAnswered whether the answer was 200, 201 or 404
   */
  void requestFinished(String job, long sentAtMs, boolean isAnswered) {
    rules.forEach(rule -> rule.requestFinished(job, sentAtMs, isAnswered));
  }

  /** Records that a task is on a machine from now on, and checks its start. */
  void started(SimulatedWorker worker, SimulatedTask task) {
    JobPlan plan = world.jobs.plan(task.job());
    boolean cancelled = answers.cancelledAtMs(task.job()).isPresent();
    Set<String> machinesBefore = tasks.start(worker, task, plan, cancelled);
    TaskStart start = new TaskStart(worker, task.id(), task.job(), plan, machinesBefore);
    rules.forEach(rule -> rule.started(start));
  }

  /** Records that a task is no longer on a machine. */
  void stopped(SimulatedWorker worker, SimulatedTask task) {
    tasks.stop(worker, task, world.jobs.plan(task.job()));
  }

  /** Checks a heartbeat that a worker sends. */
  void heartbeatSent(SimulatedWorker worker, JsonNode heartbeat) {
    messageSizeRule.check("heartbeat", worker, heartbeat, heartbeat.path("pieces"));
  }

  /** Checks an answer to a heartbeat, or a direct command, that reaches a worker. */
  void commandsReceived(SimulatedWorker worker, JsonNode message) {
    messageSizeRule.check("command message", worker, message, message.path("orders"));
  }

  /** Notifies the rules that a worker is about to execute a start command. */
  void startCommanded(SimulatedWorker worker, String task, long attempt) {
    rules.forEach(rule -> rule.startCommanded(worker, task, attempt));
  }

  /** Notifies the rules that a worker is about to reap an exited task. */
  void reapCommanded(SimulatedWorker worker, String task, long attempt) {
    rules.forEach(rule -> rule.reapCommanded(worker, task, attempt));
  }

  /** Notifies the rules that a controller in this process has completed a round. */
  void roundCompleted(ControllerNode node) {
    rules.forEach(rule -> rule.roundCompleted(node));
  }

  /** Notifies the rules that the state service is about to apply a transaction. */
  void beforeTransaction(JsonNode operations) {
    rules.forEach(rule -> rule.beforeTransaction(operations));
  }

  /** Notifies the rules that the run has ended. */
  void end() {
    rules.forEach(Rule::ended);
  }
}
