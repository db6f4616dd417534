package shorecrank.sim;

import java.util.List;
import java.util.Map;
import shorecrank.protocol.Json;
import shorecrank.sim.Rollouts.Version;

/** All first words of scenario lines: the site, its limits, and when actions run. */
final class Declarations {
  private static final Map<String, Declaration.Reader> BY_NAME =
      Map.ofEntries(
          Map.entry("controllers", Declarations::controllers),
          Map.entry("zones", Declarations::zones),
          Map.entry("workers", Declarations::workers),
          Map.entry("state", Declarations::state),
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
          Map.entry("must-break", Declarations::mustBreak),
          Map.entry("capacity", Declarations::capacity),
          Map.entry("boot-failures", Declarations::bootFailures),
          Map.entry("machines", Declarations::machines),
          Map.entry("at", Declarations::at),
          Map.entry("on", Declarations::on),
          Map.entry("until", Declarations::until));

  private static final String TRIGGER_END = " : ";

  private Declarations() {}

  /**
   * Reads a line by its first word.
   *
   * @throws ScenarioSyntaxException if there is no such declaration, or its words can't be read
   */
  static Declaration read(ScenarioLine line) {
    Declaration.Reader reader = BY_NAME.get(line.word(0));
    if (reader == null) {
      throw line.error("no line begins with '" + line.word(0) + "'");
    }
    return reader.read(line);
  }

  /** {@code controllers COUNT}. */
  private static Declaration controllers(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.controllers(count);
  }

  /** {@code zones ZONE,ZONE}: those of the controllers, in turn. */
  private static Declaration zones(ScenarioLine line) {
    List<String> zones = line.list(1);
    return setup -> setup.world().site.setZones(zones);
  }

  /** {@code workers heartbeat=S lease=S cancel=S}. */
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

  /** {@code state} with the limits of the state service, now and announced. */
  private static Declaration state(ScenarioLine line) {
    String[] names = {"rps", "writes", "ops", "value", "next-value", "next-ops"};
    ScenarioOptions options = line.options(1);
    options.allow("rps", "writes", "ops", "value", "next-value", "next-ops", "unannounced");
    options.requireNumbers(names);
    return setup -> {
      Site site = setup.world().site;
      SimulatedStateService store = setup.world().store;
      site.setStateRates(
          options.decimal("rps", site.stateRequestsPerS()),
          options.decimal("writes", site.stateWritesPerS()));
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

  /** {@code type NAME options}: a type of machine. */
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

  /** {@code team NAME [limit=CPUS] [guarantee=CPUS]}. */
  private static Declaration team(ScenarioLine line) {
    String name = line.word(1);
    ScenarioOptions options = line.options(2).allow("limit", "guarantee");
    TeamQuota quota = new TeamQuota(options.decimal("guarantee", 0), options.decimal("limit", 0));
    return setup -> setup.world().site.addTeam(name, quota);
  }

  /** {@code objective KIND CLASS [within=S] [times=FACTOR]}: an objective of a class of jobs. */
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

  /** {@code seeds COUNT}: read by {@link Scenario#seeds}. */
  private static Declaration seeds(ScenarioLine line) {
    line.longInteger(1);
    return setup -> {};
  }

  /** {@code rollout SETTING: VALUE}, as in the operators' file; several lines are one file. */
  private static Declaration rollout(ScenarioLine line) {
    String setting = line.textFrom(1);
    return setup -> setup.rolloutSetting(setting);
  }

  /** {@code shares SETTING: VALUE}, as in the operators' file; several lines are one file. */
  private static Declaration shares(ScenarioLine line) {
    String setting = line.textFrom(1);
    return setup -> setup.world().shares.addSetting(setting);
  }

  /** {@code levels LEVELS,LEVELS}: what each controller supports at first. */
  private static Declaration levels(ScenarioLine line) {
    List<Version> versions =
        line.list(1).stream().map(word -> RolloutActions.readVersion(line, word)).toList();
    return setup -> {
      for (int i = 0; i < versions.size(); i++) {
        setup.world().rollouts.setVersion(i, versions.get(i));
      }
    };
  }

  /** {@code must-break RULE}: a test of the checker, which has to report this. */
  private static Declaration mustBreak(ScenarioLine line) {
    String rule = line.word(1);
    return setup -> setup.mustBreak(rule);
  }

  /** {@code capacity COUNT}: so many machines can be rented at a time. */
  private static Declaration capacity(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.world().cloud.setCapacity(count);
  }

  /** {@code boot-failures COUNT}: so many machines never come up. */
  private static Declaration bootFailures(ScenarioLine line) {
    int count = line.integer(1);
    return setup -> setup.world().cloud.failBoots(count);
  }

  /** {@code machines TYPE ZONE COUNT [spot]}: they are up when the run begins. */
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

  /** {@code at SECONDS ACTION}. */
  private static Declaration at(ScenarioLine line) {
    long ms = line.milliseconds(1);
    Action action = Actions.read(line.from(2));
    return setup -> setup.world().sim.at(ms, () -> action.run(setup.world()));
  }

  /** {@code on TEXT : ACTION}: once, when a controller first logs the text. */
  private static Declaration on(ScenarioLine line) {
    String text = line.textFrom(1);
    int end = text.indexOf(TRIGGER_END);
    if (end < 0) {
      throw line.error("'" + TRIGGER_END + "' is missing after the text");
    }
    String trigger = text.substring(0, end).trim();
    Action action = Actions.read(line.rest(text.substring(end + TRIGGER_END.length())));
    return setup -> setup.world().log.whenLogged(trigger, () -> action.run(setup.world()));
  }

  /** {@code until SECONDS}: when the run ends. */
  private static Declaration until(ScenarioLine line) {
    long ms = line.milliseconds(1);
    return setup -> setup.runUntil(ms);
  }
}
