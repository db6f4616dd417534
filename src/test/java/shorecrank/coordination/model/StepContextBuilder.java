package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.NodeConfig.CloudLimits;
import shorecrank.config.NodeConfig.Objective;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.config.NodeConfig.StateLimits;
import shorecrank.config.NodeConfig.Team;
import shorecrank.config.NodeConfig.WorkerTimings;
import shorecrank.config.Settings;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;

/**
 * Builds step contexts for tests, with a heartbeat interval of 4 s, worker leases of 30 s, a grace
 * period of 60 s, and the objectives and teams that a test adds.
 */
public final class StepContextBuilder {
  private static final Address NOWHERE = new Address("127.0.0.1", 1);
  private static final Settings SETTINGS =
      new Settings(1, 6000, 2000, 8000, 60_000, 3000, 4, 100, 20, 50, 300, 300, 120);

  private final List<Objective> objectives = new ArrayList<>();
  private final Map<String, Team> teams = new TreeMap<>();

  /** Adds an objective; {@code times} is the factor by which a job's own deadline is multiplied. */
  public StepContextBuilder objective(String kind, String jobClass, double withinS, double times) {
    objectives.add(new Objective(kind, jobClass, withinS, 0.9, times));
    return this;
  }

  /** Adds a team with its guaranteed and its maximum number of processors; 0 means none. */
  public StepContextBuilder team(String name, double cpus, double cpusMax) {
    teams.put(name, new Team(name, cpus, cpusMax, 0, 0));
    return this;
  }

  /** Returns the context, whose clocks are at 0. */
  public StepContext build() {
    ControllerName label = new ControllerName("n1");
    NodeConfig config =
        new NodeConfig(
            label,
            "a",
            NOWHERE,
            NOWHERE,
            List.of(),
            NOWHERE,
            NOWHERE,
            teams,
            objectives,
            new WorkerTimings(4, 30, 60),
            new StateLimits(100, 100, 8, 20),
            new CloudLimits(10, 1),
            new ProcessLimits(1, 256, 100));
    StepContext context = new StepContext(config, SETTINGS, new WriterId("n1.x"));
    context.begin(new MonotonicTime(0), 0, 1);
    return context;
  }
}
