package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Checks the quotas in the job records: no transaction raises the CPUs of a team's recorded
 * attempts above the team's limit, counting the attempts that are running or can still start.
 * Otherwise the next shard owner, which starts all recorded attempts, would exceed the limit.
 */
final class RecordedQuotaRule extends Rule {
  /**
   * A stored value and the job record that was decoded from it.
   *
   * @param record null if the value is not a record, or the team of its job has no limit
   */
  private record Decoded(JsonNode value, JobRecord record) {}

  /** The latest value of each live record by key, decoded if its team has a limit. */
  private final Map<String, Decoded> records = new HashMap<>();

  RecordedQuotaRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void beforeTransaction(JsonNode operations) {
    Map<String, JsonNode> written = new HashMap<>();
    for (JsonNode operation : operations) {
      String key = operation.path("write").asText();
      if (key.startsWith(JobRecord.LIVE_PREFIX)) {
        written.put(key, operation.path("data"));
      }
    }
    if (written.isEmpty() || world().site.teams().isEmpty()) {
      return;
    }
    refresh();
    Map<String, Double> before = cpusByTeam();
    written.forEach(this::decode);
    cpusByTeam().forEach((team, cpus) -> check(team, before.getOrDefault(team, 0.0), cpus));
  }

  private void check(String team, double before, double after) {
    if (after > before && !world().site.isWithinLimit(team, after)) {
      report("recorded_use: records of team %s name %s CPUs".formatted(team, after));
    }
  }

  /**
   * Reloads records that were changed other than by the checked transactions, and forgets deleted
   * ones.
   */
  private void refresh() {
    List<String> keys = world().store.keys(JobRecord.LIVE_PREFIX);
    records.keySet().retainAll(Set.copyOf(keys));
    for (String key : keys) {
      JsonNode stored = world().store.peek(key);
      Decoded cached = records.get(key);
      if (cached == null || cached.value != stored) {
        decode(key, stored);
      }
    }
  }

  private void decode(String key, JsonNode value) {
    JobRecord record = JobRecord.read(value);
    boolean isLimited = record != null && world().site.isLimited(record.spec().team());
    records.put(key, new Decoded(value, isLimited ? record : null));
  }

  private Map<String, Double> cpusByTeam() {
    Map<String, Double> cpus = new HashMap<>();
    for (Decoded decoded : records.values()) {
      JobRecord record = decoded.record;
      if (record != null) {
        double used = runnableAttempts(record) * record.spec().cpus();
        cpus.merge(record.spec().team(), used, Double::sum);
      }
    }
    return cpus;
  }

  private int runnableAttempts(JobRecord record) {
    int runnable = 0;
    for (AttemptRange range : record.live()) {
      SimulatedWorker worker = world().worker(range.machine().value()).orElse(null);
      if (worker == null || worker.incarnation() != range.incarnation().value()) {
        continue;
      }
      for (int index = range.first(); index < range.first() + range.count(); index++) {
        String task = record.spec().id().value() + "/" + index;
        if (!record.done().get(index)
            && worker.tasks().mayRun(task, range.attempt().value(), record.cancelled())) {
          runnable++;
        }
      }
    }
    return runnable;
  }
}
