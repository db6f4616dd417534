package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Checks the assignment of machines to shards. {@code named_elsewhere}: no job record names a
 * machine that is assigned to another shard than the job's, whichever of record and assignment is
 * written later. {@code start_...}: a worker starts tasks only for the owner of the shard that its
 * machine is assigned to, see {@link CommandHistory}.
 */
final class AssignmentRule extends Rule {
  private static final String SHARD_KEYS = "part/";

  private final CommandHistory history = new CommandHistory();

  AssignmentRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void startCommanded(SimulatedWorker worker, String task, long attempt) {
    history.recordStart(worker.name(), worker.token(), task).forEach(this::report);
  }

  @Override
  void beforeTransaction(JsonNode operations) {
    boolean hasSeveralShards = world().settings().shards() > 1;
    for (JsonNode operation : operations) {
      String key = operation.path("write").asText();
      JsonNode data = operation.path("data");
      if (key.startsWith(SHARD_KEYS)) {
        history.recordAllocation(data.path("epoch").asLong(), data.path("part").asInt());
      } else if (hasSeveralShards && key.startsWith(Shares.ASSIGNMENT_PREFIX)) {
        data.path("m")
            .forEach(
                machine ->
                    history.recordAssignment(
                        machine.path(Shares.NAME_INDEX).asText(),
                        machine.path(Shares.SHARD_INDEX).asInt()));
      }
    }
    if (hasSeveralShards) {
      operations.forEach(this::checkRecordedMachines);
    }
  }

  private void checkRecordedMachines(JsonNode operation) {
    String key = operation.path("write").asText();
    if (key.startsWith(JobRecord.LIVE_PREFIX)) {
      checkRecordedMachines(key, operation.path("data"));
    } else if (key.startsWith(Shares.ASSIGNMENT_PREFIX)) {
      SimulatedStateService store = world().store;
      store
          .keys(JobRecord.LIVE_PREFIX)
          .forEach(record -> checkRecordedMachines(record, store.peek(record)));
    }
  }

  private void checkRecordedMachines(String key, JsonNode value) {
    JobRecord record = JobRecord.read(value);
    if (record == null) {
      return;
    }
    int shards = world().rollouts.settings(world().controllers().get(0)).shards();
    int shard = ShardId.of(record.spec().team(), shards).value();
    for (AttemptRange range : record.live()) {
      String machine = range.machine().value();
      if (world().worker(machine).isPresent() && !history.canBelong(machine, shard)) {
        report("named_elsewhere: %s names %s".formatted(key, machine));
      }
    }
  }
}
