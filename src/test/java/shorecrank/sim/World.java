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

/** Controllers and stand-ins for all others on one clock, with faults and checks. */
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
   * @param settings what the controllers' settings file says, unless one gets another
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

  /** What the controllers' settings file says, unless one has another. */
  Settings settings() {
    return settings;
  }

  /** An {@code expect} line found something else. */
  void addUnmetExpectation(String what) {
    unmetExpectations.add(what);
  }

  /** What {@code expect} lines found otherwise. */
  List<String> unmetExpectations() {
    return Collections.unmodifiableList(unmetExpectations);
  }

  /** Whether users were told of the end of all their jobs. */
  boolean areAllJobsOver() {
    return jobs.ids().stream().allMatch(checker.answers()::isOver);
  }

  // ---- controllers -----------------------------------------------------------------------------

  /** Starts so many controllers. */
  void startControllers(int count) {
    for (int i = 0; i < count; i++) {
      controllers.add(newController(i));
    }
    controllers.forEach(ControllerNode::start);
  }

  /** A controller that has not started. */
  ControllerNode newController(int index) {
    return new SimulatedController(this, index);
  }

  /** All controllers, by index. */
  List<ControllerNode> controllers() {
    return Collections.unmodifiableList(controllers);
  }

  /** The controller of that label, if there is one. */
  Optional<ControllerNode> findNode(String label) {
    return controllers.stream().filter(node -> node.label().equals(label)).findFirst();
  }

  /**
   * The controller of that label.
   *
   * @throws IllegalArgumentException if there is none
   */
  ControllerNode node(String label) {
    return findNode(label)
        .orElseThrow(() -> new IllegalArgumentException("no controller is named " + label));
  }

  /** The controller that leads, as the state service has it. */
  Optional<ControllerNode> leader() {
    return findNode(store.peek("leader").path("label").asText(""));
  }

  /** The controller that owns a shard at the highest epoch, of those that run. */
  Optional<ControllerNode> owner(int shard) {
    ControllerNode best = null;
    long highest = -1;
    for (ControllerNode node : controllers) {
      Epoch epoch = node.isUp() ? node.ownedEpochs().get(new ShardId(shard)) : null;
      if (epoch != null && epoch.value() > highest) {
        highest = epoch.value();
        best = node;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Where a controller finds others and is found. */
  NodeConfigWriter.Addresses addresses(ControllerNode node) {
    String host = "10.0.0." + (node.index() + 1);
    return new NodeConfigWriter.Addresses(host + ":80", host + ":81", "10.2.0.1:1", "10.2.0.2:1");
  }

  // ---- machines --------------------------------------------------------------------------------

  /** A machine is up, and its worker begins to report. */
  void addWorker(SimulatedWorker worker) {
    workers.put(worker.name(), worker);
  }

  /** A machine is gone. */
  void removeWorker(String name) {
    workers.remove(name);
  }

  /** The workers of all machines that are up, in the order of their names. */
  Collection<SimulatedWorker> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** The worker of a machine, if it is up. */
  Optional<SimulatedWorker> worker(String name) {
    return Optional.ofNullable(workers.get(name));
  }

  /** A worker that runs a task of the job, if any does. */
  Optional<SimulatedWorker> workerRunning(String job) {
    return workers.values().stream().filter(worker -> worker.tasks().runs(job)).findFirst();
  }

  /** Where commands for a worker go. */
  String workerAddress(SimulatedWorker worker) {
    int number = Integer.parseInt(worker.name().substring(2));
    return "10.1." + number / 250 + "." + (1 + number % 250) + ":9000";
  }
}
