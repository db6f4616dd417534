package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import shorecrank.config.Settings;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/**
 * Controllers, a simulated environment for them (state service, cloud, workers, users), and the
 * checks, all on one clock.
 */
class World {
  final Simulation sim;
  final Site site = new Site();
  final SubmittedJobs jobs = new SubmittedJobs();
  final RunCounters counters = new RunCounters();
  final FaultPeriod faults;
  final ControllerLog log;
  final RunRecorder recorder;
  final SimulatedStateService store;
  final Checker checker;
  final SimulatedCloud cloud;
  final SimulatedUsers users;
  final Rollouts rollouts;
  final Shares shares;
  final Network network;
  private final Settings settings;
  private final List<ControllerNode> controllers = new ArrayList<>();
  private final Map<String, SimulatedWorker> workers = new TreeMap<>();
  private final List<String> unmetExpectations = new ArrayList<>();

  World(long seed, Settings settings) {
    this(seed, settings, RunOptions.DEFAULT);
  }

  /**
   * @param settings the contents of the controllers' settings file, unless a controller gets its
   *     own
   */
  World(long seed, Settings settings, RunOptions options) {
    this.sim = new Simulation(seed);
    this.settings = settings;
    this.faults = new FaultPeriod(sim);
    this.log = new ControllerLog(sim, options.verbose());
    this.recorder = new RunRecorder(sim, options.measurements(), options.digest());
    this.store = new SimulatedStateService(sim);
    this.checker = new Checker(this);
    this.cloud = new SimulatedCloud(this);
    this.users = new SimulatedUsers(this);
    this.rollouts = new Rollouts(this);
    this.shares = new Shares(this);
    this.network = new Network(this);
    this.store.beforeTransactions(checker::beforeTransaction);
  }

  /** Returns the contents of the controllers' settings file, unless a controller has its own. */
  Settings settings() {
    return settings;
  }

  /** Records that an {@code expect} line of the scenario was not met. */
  void addUnmetExpectation(String description) {
    unmetExpectations.add(description);
  }

  /** Returns the {@code expect} lines that were not met, with what was found. */
  List<String> unmetExpectations() {
    return Collections.unmodifiableList(unmetExpectations);
  }

  /** Reports whether users have been told the end of all their jobs. */
  boolean areAllJobsOver() {
    return jobs.ids().stream().allMatch(checker.answers()::isOver);
  }

  /**
   * Reports whether each job is over or, if its user gave up submitting it while faults could still
   * have effects, was not accepted.
   */
  boolean areAllJobsSettled() {
    AnswerHistory answers = checker.answers();
    return jobs.ids().stream()
        .allMatch(
            job ->
                answers.isOver(job) || (!answers.isAccepted(job) && users.gaveUpDuringFaults(job)));
  }

  // ---- controllers -----------------------------------------------------------------------------

  /** Creates and starts this number of controllers. */
  void startControllers(int count) {
    for (int i = 0; i < count; i++) {
      controllers.add(newController(i));
    }
    controllers.forEach(ControllerNode::start);
  }

  /** Creates a controller without starting it. */
  ControllerNode newController(int index) {
    return new SimulatedController(this, index);
  }

  /** Returns all controllers, by index. */
  List<ControllerNode> controllers() {
    return Collections.unmodifiableList(controllers);
  }

  /** Returns the controller with a label, if there is one. */
  Optional<ControllerNode> findNode(String label) {
    return controllers.stream().filter(node -> node.label().equals(label)).findFirst();
  }

  /**
   * Returns the controller with a label.
   *
   * @throws IllegalArgumentException if there is none
   */
  ControllerNode node(String label) {
    return findNode(label)
        .orElseThrow(() -> new IllegalArgumentException("no controller is named " + label));
  }

  /** Returns the leader that the state service names, if there is one. */
  Optional<ControllerNode> leader() {
    return findNode(store.peek("leader").path("label").asText(""));
  }

  /**
   * Returns the owner of a shard: of the controllers that are up, the one that owns it at the
   * highest epoch.
   */
  Optional<ControllerNode> owner(int shard) {
    ControllerNode owner = null;
    long highest = -1;
    for (ControllerNode node : controllers) {
      Epoch epoch = node.isUp() ? node.ownedEpochs().get(new ShardId(shard)) : null;
      if (epoch != null && epoch.value() > highest) {
        highest = epoch.value();
        owner = node;
      }
    }
    return Optional.ofNullable(owner);
  }

  /** Returns the addresses of a controller and of the services that it uses. */
  NodeConfigWriter.Addresses addresses(ControllerNode node) {
    String host = "10.0.0." + (node.index() + 1);
    return new NodeConfigWriter.Addresses(host + ":80", host + ":81", "10.2.0.1:1", "10.2.0.2:1");
  }

  /** Returns the address at which one controller reaches another. */
  String peerAddress(ControllerNode from, ControllerNode to) {
    return addresses(to).peers();
  }

  // ---- machines --------------------------------------------------------------------------------

  /** Adds the worker of a machine that has booted. */
  void addWorker(SimulatedWorker worker) {
    workers.put(worker.name(), worker);
  }

  /** Removes the worker of a machine that is gone. */
  void removeWorker(String name) {
    workers.remove(name);
  }

  /** Returns the workers of all machines that are up, in the order of their names. */
  Collection<SimulatedWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the worker of a machine, if the machine is up. */
  Optional<SimulatedWorker> worker(String name) {
    return Optional.ofNullable(workers.get(name));
  }

  /** Returns a worker that runs a task of the job, if there is one. */
  Optional<SimulatedWorker> workerRunning(String job) {
    return workers.values().stream().filter(worker -> worker.tasks().runs(job)).findFirst();
  }

  /** Returns the address for direct commands to a worker. */
  String workerAddress(SimulatedWorker worker) {
    int number = Integer.parseInt(worker.name().substring(2));
    return "10.1." + number / 250 + "." + (1 + number % 250) + ":9000";
  }
}
