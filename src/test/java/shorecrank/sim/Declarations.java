package shorecrank.sim;

import java.util.List;
import java.util.Map;
import shorecrank.protocol.Json;
import shorecrank.sim.Rollouts.Version;

/**
 * The registry of all declarations by the first word of a scenario line: they configure the site
 * and its limits and schedule actions.
 */
final class Declarations {
  private static final Map<String, Declaration.Reader> BY_NAME =
      Map.ofEntries(
          Map.entry("controllers", Declarations::controllers),
          Map.entry("zones", Declarations::zones),
          Map.entry("workers", Declarations::workers),
          Map.entry("state", Declarations::state),
          Map.entry("processor", Declarations::processor),
          Map.entry("load-balancer", Declarations::loadBalancer),
          Map.entry("type", Declarations::type),
          Map.entry("team", Declarations::team),
          Map.entry("objective", Declarations::objective),
          Map.entry("set", line -> setup -> {}),
          Map.entry("seeds", Declarations::seeds),
          Map.entry("rollout", Declarations::rollout),
          Map.entry("shares", Declarations::shares),
          Map.entry("levels", Declarations::levels),
          Map.entry("random-faults", RandomActions.reader(RandomFaults::new)),
          Map.entry("random-rollouts", RandomActions.reader(RandomRolloutActions::new)),
          Map.entry("random-moves", RandomActions.reader(RandomShareActions::new)),
          Map.entry("must-break", Declarations::expectViolation),
          Map.entry("capacity", Declarations::capacity),
          Map.entry("boot-failures", Declarations::bootFailures),
          Map.entry("machines", Declarations::machines),
          Map.entry("at", Declarations::at),
          Map.entry("on", Declarations::on),
          Map.entry("until", Declarations::until));

  private static final double MS_PER_S = 1000;
  private static final String TRIGGER_SEPARATOR = " : ";

  private Declarations() {}

  /**
   * Parses a line according to its first word.
   *
   * @throws ScenarioSyntaxException if there is no such declaration or its words can't be parsed
   */
  static Declaration read(ScenarioLine line) {
    Declaration.Reader reader = BY_NAME.get(line.word(0));
    if (reader == null) {
      throw line.error("no line begins with '" + line.word(0) + "'");
    }
    return reader.read(line);
  }

  /** Parses {@code controllers COUNT}: the number of controllers. */
  private static Declaration controllers(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.controllerCount(count);
  }

  /** Parses {@code zones ZONE,ZONE}: the zones, in which the controllers are placed in turn. */
  private static Declaration zones(ScenarioLine line) {
    List<String> zones = line.list(1);
    return setup -> setup.world().site.setZones(zones);
  }

  /**
   * Parses {@code workers heartbeat=S lease=S cancel=S}: the heartbeat interval, the worker lease
   * and the cancellation deadline, in seconds.
   */
  private static Declaration workers(ScenarioLine line) {
    String[] names = {"heartbeat", "lease", "cancel"};
    ScenarioOptions options = line.options(1).allow(names).requireNumbers(names);
    return setup -> {
      Site site = setup.world().site;
      site.setWorkerTimes(
          options.decimal("heartbeat", site.reportS()),
          options.decimal("lease", site.leaseS()),
          options.decimal("cancel", site.cancelS()));
    };
  }

  /**
   * Parses {@code state} with the limits of the state service: those in force and, with the prefix
   * {@code next-}, those that come later. The later ones are announced to the controllers unless
   * {@code unannounced} is given. The rates are known to the controllers; the simulated service
   * refuses requests above them only if {@code enforced} is given.
   */
  private static Declaration state(ScenarioLine line) {
    String[] names = {"rps", "writes", "ops", "value", "next-value", "next-ops"};
    ScenarioOptions options = line.options(1);
    options.allow(
        "rps", "writes", "ops", "value", "next-value", "next-ops", "unannounced", "enforced");
    options.requireNumbers(names);
    return setup -> {
      Site site = setup.world().site;
      SimulatedStateService store = setup.world().store;
      site.setStateRates(
          options.decimal("rps", site.stateRequestsPerS()),
          options.decimal("writes", site.stateWritesPerS()));
      if (options.has("enforced")) {
        store.limitRates(site.stateRequestsPerS(), site.stateWritesPerS());
      }
      int operations = options.integer("ops", store.limits().transactionOperations());
      store.setLimits(
          new StateLimits(operations, options.integer("value", store.limits().valueKb())));
      if (options.has("next-value")) {
        StateLimits next =
            new StateLimits(
                options.integer("next-ops", operations), options.integer("next-value", 0));
        site.setNextLimits(next, !options.has("unannounced"));
      }
    };
  }

  /**
   * Parses {@code processor heartbeat=MS user=MS other=MS [owner-round=MS] [cold=FACTOR]
   * [warm-up=S]}: how long a controller's processor takes for an input, and how many times longer
   * in the first seconds of processor time after its start. A round takes as long as any other
   * input unless given.
   */
  private static Declaration processor(ScenarioLine line) {
    String[] names = {"heartbeat", "user", "other", "owner-round", "cold", "warm-up"};
    ScenarioOptions options = line.options(1).allow(names).requireNumbers(names);
    ProcessorCosts costs =
        new ProcessorCosts(
            options.decimal("heartbeat", 0),
            options.decimal("user", 0),
            options.decimal("owner-round", options.decimal("other", 0)),
            options.decimal("other", 0),
            options.decimal("cold", 1),
            options.decimal("warm-up", 0) * MS_PER_S);
    return setup -> setup.world().site.setProcessorCosts(costs);
  }

  /**
   * Parses {@code load-balancer}: users reach the controllers through a load balancer that probes
   * them, as the protocol describes it.
   */
  private static Declaration loadBalancer(ScenarioLine line) {
    return setup ->
        setup.afterStart(
            () -> setup.world().users.client().useLoadBalancer(new LoadBalancer(setup.world())));
  }

  /** Parses {@code type NAME options}: a machine type. */
  private static Declaration type(ScenarioLine line) {
    String name = line.word(1);
    ScenarioOptions options = line.options(2).allow("cpus", "memory", "boot", "zones");
    MachineType type =
        new MachineType(
            options.decimal("cpus", 8),
            options.decimal("memory", 32),
            options.decimal("boot", 20),
            List.of(options.text("zones", "a").split(",")));
    return setup -> setup.world().site.addType(name, type);
  }

  /** Parses {@code team NAME [limit=CPUS] [guarantee=CPUS]}: a team with its quota. */
  private static Declaration team(ScenarioLine line) {
    String name = line.word(1);
    ScenarioOptions options = line.options(2).allow("limit", "guarantee");
    TeamQuota quota = new TeamQuota(options.decimal("guarantee", 0), options.decimal("limit", 0));
    return setup -> setup.world().site.addTeam(name, quota);
  }

  /**
   * Parses {@code objective KIND CLASS [within=S] [times=FACTOR]}: a service-level objective of a
   * job class.
   */
  private static Declaration objective(ScenarioLine line) {
    String kind = line.word(1);
    String jobClass = line.word(2);
    ScenarioOptions options = line.options(3).allow("within", "times");
    double within = options.decimal("within", 0);
    double times = options.decimal("times", 1);
    return setup ->
        setup
            .world()
            .site
            .addObjective(
                Json.object()
                    .put("kind", kind)
                    .put("class", jobClass)
                    .put("within_s", within)
                    .put("times", times));
  }

  /**
   * Parses {@code seeds COUNT}, which has no effect on the world: {@link Scenario#seeds} reads the
   * count.
   */
  private static Declaration seeds(ScenarioLine line) {
    line.longInteger(1);
    return setup -> {};
  }

  /**
   * Parses {@code rollout SETTING: VALUE}: a line of the operators' rollout file. All such lines of
   * a scenario form one file.
   */
  private static Declaration rollout(ScenarioLine line) {
    String setting = line.textFrom(1);
    return setup -> setup.rolloutSetting(setting);
  }

  /**
   * Parses {@code shares SETTING: VALUE}: a line of the operators' shares file. All such lines of a
   * scenario form one file.
   */
  private static Declaration shares(ScenarioLine line) {
    String setting = line.textFrom(1);
    return setup -> setup.world().shares.addSetting(setting);
  }

  /**
   * Parses {@code levels LEVELS,LEVELS}: the feature levels that each controller supports at its
   * first start.
   */
  private static Declaration levels(ScenarioLine line) {
    List<Version> versions =
        line.list(1).stream().map(word -> RolloutActions.readVersion(line, word)).toList();
    return setup -> {
      for (int i = 0; i < versions.size(); i++) {
        setup.world().rollouts.setVersion(i, versions.get(i));
      }
    };
  }

  /**
   * Parses {@code must-break WORD}: the scenario tests the checker, which has to report a violation
   * whose text contains the word. Further words of the line are ignored.
   */
  private static Declaration expectViolation(ScenarioLine line) {
    String word = line.word(1);
    return setup -> setup.expectViolation(word);
  }

  /** Parses {@code capacity COUNT}: the number of machines that can be rented at a time. */
  private static Declaration capacity(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.world().cloud.setCapacity(count);
  }

  /** Parses {@code boot-failures COUNT}: the number of rented machines that never boot. */
  private static Declaration bootFailures(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.world().cloud.failBoots(count);
  }

  /** Parses {@code machines TYPE ZONE COUNT [spot]}: machines that are up when the run begins. */
  private static Declaration machines(ScenarioLine line) {
    String type = line.word(1);
    String zone = line.word(2);
    int count = line.integer(3);
    boolean spot = line.has(4) && line.word(4).equals("spot");
    return setup ->
        setup.afterStart(
            () -> {
              for (int i = 0; i < count; i++) {
                setup.world().cloud.addMachine(type, zone, spot, 0);
              }
            });
  }

  /** Parses {@code at SECONDS ACTION}: the action runs at a simulated time. */
  private static Declaration at(ScenarioLine line) {
    long ms = line.milliseconds(1);
    Action action = Actions.read(line.from(2));
    return setup -> setup.world().sim.at(ms, () -> action.run(setup.world()));
  }

  /**
   * Parses {@code on TEXT : ACTION}: the action runs once, when a controller first logs the text.
   */
  private static Declaration on(ScenarioLine line) {
    String text = line.textFrom(1);
    int end = text.indexOf(TRIGGER_SEPARATOR);
    if (end < 0) {
      throw line.error("'" + TRIGGER_SEPARATOR + "' is missing after the text");
    }
    String trigger = text.substring(0, end).trim();
    Action action = Actions.read(line.withText(text.substring(end + TRIGGER_SEPARATOR.length())));
    return setup -> setup.world().log.whenLogged(trigger, () -> action.run(setup.world()));
  }

  /** Parses {@code until SECONDS}: the simulated time at which the run ends. */
  private static Declaration until(ScenarioLine line) {
    long ms = line.milliseconds(1);
    return setup -> setup.runUntil(ms);
  }
}
