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

/** Wrong owners and wrong writes are planted, and the rule that forbids each finds it. */
class StateRulesTest {
  private static final String TWO_SHARDS = "parts: 2";

  private static JsonNode level(FeatureLevel level) {
    return RolloutCodec.writeState(
        new RolloutState(RolloutPhase.STABLE, level, level, "", "", false, List.of()));
  }

  private static PlantedWorld ofLevels(String... versions) throws Exception {
    PlantedWorld world = new PlantedWorld("");
    world.rollouts.enableWithDefaults();
    for (int i = 0; i < versions.length; i++) {
      world.rollouts.setVersion(i, Version.of(versions[i]));
    }
    return world.opened();
  }

  // ---- owners ----------------------------------------------------------------------------------

  @Test
  void twoOwnersOfOneShardAreFound() throws Exception {
    PlantedWorld world = new PlantedWorld("").opened();
    world.controller(0).commandShard(0, 1);
    world.checker.stepped(world.controller(0));
    world.assertSound();
    world.controller(1).commandShard(0, 2);
    world.checker.stepped(world.controller(0));
    world.assertBroken("two_owners: n0");
  }

  @Test
  void twoCommandersOfOneMachineAreFound() throws Exception {
    PlantedWorld world = new PlantedWorld(TWO_SHARDS).opened();
    world.controller(0).commandMachine("n-000001");
    world.controller(1).commandMachine("n-000002");
    world.checker.stepped(world.controller(0));
    world.assertSound();
    world.controller(1).commandMachine("n-000001");
    world.checker.stepped(world.controller(0));
    world.assertBroken("two_commanders: ");
  }

  @Test
  void aMachineThatIsGoneHasNoCommanders() throws Exception {
    PlantedWorld world = new PlantedWorld(TWO_SHARDS).opened();
    world.controller(0).commandMachine("n-000001");
    world.controller(1).commandMachine("n-000001");
    world.cloud.removeMachine("n-000001");
    world.checker.stepped(world.controller(0));
    world.assertSound();
  }

  // ---- assignments -----------------------------------------------------------------------------

  @Test
  void aRecordThatNamesAMachineOfAnotherShardIsFoundWhicheverIsWrittenLater() throws Exception {
    for (boolean recordFirst : List.of(true, false)) {
      PlantedWorld world = new PlantedWorld(TWO_SHARDS).opened();
      world.submit("wk-1", JobPlan.builder());
      int shard = ShardId.of(world.record("wk-1", 1).spec().team(), 2).value();
      world.writeAssignment(1, recordFirst ? shard : 1 - shard);
      world.assertSound();
      world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
      if (recordFirst) {
        world.assertSound();
        world.writeAssignment(1, 1 - shard);
      }
      world.assertBroken("named_elsewhere: j/wk-1 names n-000001");
    }
  }

  @Test
  void aStartByTheOwnerOfAnotherShardIsFound() throws Exception {
    PlantedWorld world = new PlantedWorld(TWO_SHARDS).opened();
    world.accept("wk-1", JobPlan.builder().tasks(2));
    world.writeEpoch(0, 1);
    world.writeEpoch(1, 2);
    world.writeAssignment(1, 0);
    world.commandStart(1, "wk-1/0", 1);
    world.assertSound();
    world.commandStart(1, "wk-1/1", 2);
    world.assertBroken("start_of_other_shard: wk-1/1 on n-000001");
  }

  // ---- levels ----------------------------------------------------------------------------------

  @Test
  void aFormAboveTheLevelInForceIsFound() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-1");
    world.submit("wk-1", JobPlan.builder());
    JobRecord record = world.record("wk-1", 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-1", record.write());
    world.assertSound();
    world.write(JobRecord.LIVE_PREFIX + "wk-1", record.writeDense());
    world.assertBroken("form_above_level: j/wk-1");
  }

  @Test
  void aRiseThatAControllerDoesNotSupportIsFound() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-0");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, level(Feature.DENSE_RECORDS.level()));
    world.assertBroken("raised_without_support: n1");
  }

  @Test
  void aRiseThatAllSupportBreaksNothing() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-2");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, level(Feature.DENSE_RECORDS.level()));
    world.assertSound();
  }

  @Test
  void aFallThatLeavesDenseRecordsIsFound() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-1");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, level(Feature.DENSE_RECORDS.level()));
    world.submit("wk-1", JobPlan.builder());
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).writeDense());
    world.assertSound();
    world.write(RolloutMessages.KEY, level(FeatureLevel.LOWEST));
    world.assertBroken("fell_too_early: 1 dense records left");
  }

  @Test
  void anOwnerBelowTheLevelIsFound() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-1");
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, level(Feature.DENSE_RECORDS.level()));
    world.write("leader", Json.object().put("label", "n0"));
    world.rollouts.setVersion(1, Version.of("0-0"));
    world.controller(1).crash(0);
    world.sim.runUntil(10_001);
    world.checker.stepped(world.controller(1));
    world.assertSound();
    world.controller(1).commandShard(0, 1);
    world.checker.stepped(world.controller(1));
    world.assertBroken("owner_below_level: n1");
  }

  @Test
  void leadershipThatIsDroppedIsFound() throws Exception {
    PlantedWorld world = ofLevels("0-1", "0-1");
    world.write("leader", Json.object().put("label", "n0"));
    world.assertSound();
    world.remove("leader");
    world.assertBroken("leadership_vacant: dropped");
  }

  // ---- moves -----------------------------------------------------------------------------------

  private static PlantedWorld ofShares() throws Exception {
    PlantedWorld world = new PlantedWorld(TWO_SHARDS);
    world.rollouts.enableWithDefaults();
    world.shares.addSetting("automatic: false");
    world.opened();
    world.sim.runUntil(10_000);
    world.write(RolloutMessages.KEY, level(Feature.SHARES.level()));
    world.writeAssignment(1, 0);
    world.assertSound();
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

  private static JsonNode shares(long nextMove, Move... moves) {
    return ShareStateCodec.write(
        new SharesState(2, nextMove, List.of(moves), List.of(), List.of(), List.of()));
  }

  @Test
  void aMoveWithAnIdThatWasUsedIsFound() throws Exception {
    PlantedWorld world = ofShares();
    world.write(ShareStateMessages.KEY, shares(3));
    world.write(ShareStateMessages.KEY, shares(4, move(3, MovePhase.REQUESTED)));
    world.assertSound();
    world.write(ShareStateMessages.KEY, shares(4, move(2, MovePhase.REQUESTED)));
    world.assertBroken("move_id_reused: ");
  }

  @Test
  void aMoveThatGoesBackAStepIsFound() throws Exception {
    PlantedWorld world = ofShares();
    world.write(ShareStateMessages.KEY, shares(2, move(1, MovePhase.REQUESTED)));
    world.write(ShareStateMessages.KEY, shares(2, move(1, MovePhase.DRAINING)));
    world.assertSound();
    world.write(ShareStateMessages.KEY, shares(2, move(1, MovePhase.REQUESTED)));
    world.assertBroken("move_went_back: ");
  }

  @Test
  void anAssignmentThatChangesWithoutItsMoveIsFound() throws Exception {
    PlantedWorld world = ofShares();
    world.write(ShareStateMessages.KEY, shares(2, move(1, MovePhase.DRAINING)));
    world.writeAssignment(1, 1);
    world.assertBroken("moved_unwritten: n-000001 from 0 to 1");
  }

  @Test
  void sharesThatNobodyCanReadAreFound() throws Exception {
    PlantedWorld world = ofShares();
    world.write(ShareStateMessages.KEY, Json.object().put("v", 1).put("moves", "none"));
    world.assertBroken("shares_unreadable: ");
  }
}
