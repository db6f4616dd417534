package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutCodec;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.rollout.Feature;
import shorecrank.sim.Rollouts.Version;
import shorecrank.storage.JobRecord;

/** Verifies that the rules about shard owners and stored data report each violation. */
class StateRulesTest {
  private static final String TWO_SHARDS = "parts: 2";

  private static JsonNode levelState(FeatureLevel level) {
    return RolloutCodec.writeState(
        new RolloutState(RolloutPhase.STABLE, level, level, "", "", false, List.of()));
  }

  private static RuleTestWorld launchWithVersions(String... versions) throws Exception {
    RuleTestWorld world = new RuleTestWorld("");
    world.rollouts.enableWithDefaults();
    for (int i = 0; i < versions.length; i++) {
      world.rollouts.setVersion(i, Version.of(versions[i]));
    }
    return world.launch();
  }

  // ---- owners ----------------------------------------------------------------------------------

  @Test
  void reportsTwoOwnersOfOneShard() throws Exception {
    RuleTestWorld world = new RuleTestWorld("").launch();
    world.controller(0).commandShard(0, 1);
    world.checker.roundCompleted(world.controller(0));
    world.assertNoViolations();
    world.controller(1).commandShard(0, 2);
    world.checker.roundCompleted(world.controller(0));
    world.assertViolation("two_owners: n0");
  }

  @Test
  void reportsTwoCommandersOfOneMachine() throws Exception {
    RuleTestWorld world = new RuleTestWorld(TWO_SHARDS).launch();
    world.controller(0).commandMachine("n-000001");
    world.controller(1).commandMachine("n-000002");
    world.checker.roundCompleted(world.controller(0));
    world.assertNoViolations();
    world.controller(1).commandMachine("n-000001");
    world.checker.roundCompleted(world.controller(0));
    world.assertViolation("two_commanders: ");
  }

  @Test
  void acceptsTwoCommandersOfRemovedMachine() throws Exception {
    RuleTestWorld world = new RuleTestWorld(TWO_SHARDS).launch();
    world.controller(0).commandMachine("n-000001");
    world.controller(1).commandMachine("n-000001");
    world.cloud.removeMachine("n-000001");
    world.checker.roundCompleted(world.controller(0));
    world.assertNoViolations();
  }

  // ---- assignments -----------------------------------------------------------------------------

  @Test
  void reportsRecordWithMachineOfAnotherShardWhicheverIsWrittenLater() throws Exception {
    for (boolean recordFirst : List.of(true, false)) {
      RuleTestWorld world = new RuleTestWorld(TWO_SHARDS).launch();
      world.submit("wk-1", JobPlan.builder());
      int shard = ShardId.of(world.record("wk-1", 1).spec().team(), 2).value();
      world.writeAssignment(1, recordFirst ? shard : 1 - shard);
      world.assertNoViolations();
      world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
      if (recordFirst) {
        world.assertNoViolations();
        world.writeAssignment(1, 1 - shard);
      }
      world.assertViolation("named_elsewhere: j/wk-1 names n-000001");
    }
  }

  @Test
  void reportsStartByOwnerOfAnotherShard() throws Exception {
    RuleTestWorld world = new RuleTestWorld(TWO_SHARDS).launch();
    world.accept("wk-1", JobPlan.builder().tasks(2));
    world.writeEpoch(0, 1);
    world.writeEpoch(1, 2);
    world.writeAssignment(1, 0);
    world.commandStart(1, "wk-1/0", 1);
    world.assertNoViolations();
    world.commandStart(1, "wk-1/1", 2);
    world.assertViolation("start_of_other_shard: wk-1/1 on n-000001");
  }

  // ---- levels ----------------------------------------------------------------------------------

  @Test
  void reportsRecordFormAboveLevelInForce() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-1");
    world.submit("wk-1", JobPlan.builder());
    JobRecord record = world.record("wk-1", 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-1", record.write());
    world.assertNoViolations();
    world.write(JobRecord.LIVE_PREFIX + "wk-1", record.writeDense());
    world.assertViolation("form_above_level: j/wk-1");
  }

  @Test
  void reportsRiseThatOneControllerDoesNotSupport() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-0");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, levelState(Feature.DENSE_RECORDS.level()));
    world.assertViolation("raised_without_support: n1");
  }

  @Test
  void acceptsRiseThatAllControllersSupport() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-2");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, levelState(Feature.DENSE_RECORDS.level()));
    world.assertNoViolations();
  }

  @Test
  void reportsFallThatLeavesDenseRecords() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-1");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, levelState(Feature.DENSE_RECORDS.level()));
    world.submit("wk-1", JobPlan.builder());
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).writeDense());
    world.assertNoViolations();
    world.write(RolloutMessages.KEY, levelState(FeatureLevel.LOWEST));
    world.assertViolation("fell_too_early: 1 dense records left");
  }

  @Test
  void reportsOwnerBelowLevel() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-1");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, levelState(Feature.DENSE_RECORDS.level()));
    world.write("leader", Json.object().put("label", "n0"));
    world.rollouts.setVersion(1, Version.of("0-0"));
    world.controller(1).crash(0);
    world.sim.runUntil(10_001);
    world.checker.roundCompleted(world.controller(1));
    world.assertNoViolations();
    world.controller(1).commandShard(0, 1);
    world.checker.roundCompleted(world.controller(1));
    world.assertViolation("owner_below_level: n1");
  }

  @Test
  void reportsRemovalOfLeaderKey() throws Exception {
    RuleTestWorld world = launchWithVersions("0-1", "0-1");
    world.write("leader", Json.object().put("label", "n0"));
    world.assertNoViolations();
    world.remove("leader");
    world.assertViolation("leadership_vacant: dropped");
  }

  // ---- moves -----------------------------------------------------------------------------------

  private static RuleTestWorld launchWithShares() throws Exception {
    RuleTestWorld world = new RuleTestWorld(TWO_SHARDS);
    world.rollouts.enableWithDefaults();
    world.shares.addSetting("automatic: false");
    world.launch();
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, levelState(Feature.SHARES.level()));
    world.writeAssignment(1, 0);
    world.assertNoViolations();
    return world;
  }

  private static Move move(long id, MovePhase phase) {
    return new Move(
        new MoveId(id),
        new MachineName("n-000001"),
        new ShardId(0),
        new ShardId(1),
        new Epoch(1),
        phase,
        "o1",
        0,
        "");
  }

  private static JsonNode sharesState(long nextMove, Move... moves) {
    return ShareStateCodec.write(
        new SharesState(2, nextMove, List.of(moves), List.of(), List.of(), List.of()));
  }

  @Test
  void reportsMoveWithUsedId() throws Exception {
    RuleTestWorld world = launchWithShares();
    world.write(ShareStateMessages.KEY, sharesState(3));
    world.write(ShareStateMessages.KEY, sharesState(4, move(3, MovePhase.REQUESTED)));
    world.assertNoViolations();
    world.write(ShareStateMessages.KEY, sharesState(4, move(2, MovePhase.REQUESTED)));
    world.assertViolation("move_id_reused: ");
  }

  @Test
  void reportsMoveThatReturnsToEarlierPhase() throws Exception {
    RuleTestWorld world = launchWithShares();
    world.write(ShareStateMessages.KEY, sharesState(2, move(1, MovePhase.REQUESTED)));
    world.write(ShareStateMessages.KEY, sharesState(2, move(1, MovePhase.DRAINING)));
    world.assertNoViolations();
    world.write(ShareStateMessages.KEY, sharesState(2, move(1, MovePhase.REQUESTED)));
    world.assertViolation("move_went_back: ");
  }

  @Test
  void reportsAssignmentChangeWithoutHandover() throws Exception {
    RuleTestWorld world = launchWithShares();
    world.write(ShareStateMessages.KEY, sharesState(2, move(1, MovePhase.DRAINING)));
    world.writeAssignment(1, 1);
    world.assertViolation("moved_unwritten: n-000001 from 0 to 1");
  }

  @Test
  void reportsUnreadableShares() throws Exception {
    RuleTestWorld world = launchWithShares();
    world.write(ShareStateMessages.KEY, Json.object().put("v", 1).put("moves", "none"));
    world.assertViolation("shares_unreadable: ");
  }
}
