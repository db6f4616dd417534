package shorecrank.coordination.leader;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerPaths;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.CommitResult.Committed;

/**
 * Allocates epochs: a transaction raises the fleet's counter and writes down the owner that gets
 * the new epoch. One allocation is under way at a time, each guarded by the counter's revision, so
 * that no epoch is given twice.
 */
final class EpochAllocator {
  private static final int CALL_TIMEOUT_MS = 1500;
  private static final int HEARTBEAT_NOW_TIMEOUT_MS = 1000;

  /** After an allocation without success everything is loaded again after so long. */
  private static final int RELOAD_PAUSE_MS = 200;

  private final StepContext context;
  private final Election election;
  private final LoadedTerm loadedTerm;
  private final ShardLeaseTable shards;
  private final Consumer<ShardId> onAllocated;
  private Revision counterRevision = Revision.ABSENT;
  private long counter;
  private boolean allocating;

  /**
   * The term of the latest allocation, and its number: an earlier one's answer says nothing new.
   */
  private Revision allocationTerm = Revision.ABSENT;

  private long allocations;

  /**
   * Shards for which a new owner may yet be written down by a transaction without an answer. The
   * next committed allocation settles it, since all are guarded by the counter's revision; before
   * that the last owner gets no lease.
   */
  private final Set<ShardId> shardsInDoubt = new TreeSet<>();

  private Revision doubtTerm = Revision.ABSENT;

  /**
   * Creates an allocator.
   *
   * @param onAllocated told of each shard that has a new epoch
   */
  EpochAllocator(
      StepContext context,
      Election election,
      LoadedTerm loadedTerm,
      ShardLeaseTable shards,
      Consumer<ShardId> onAllocated) {
    this.context = context;
    this.election = election;
    this.loadedTerm = loadedTerm;
    this.shards = shards;
    this.onAllocated = onAllocated;
  }

  /** Takes the counter as it was read; {@link Revision#ABSENT} and 0 if there is none yet. */
  void restore(Revision revision, long epoch) {
    counterRevision = revision;
    counter = epoch;
  }

  /** The highest epoch of the fleet. */
  long highest() {
    return counter;
  }

  /** A term has been loaded: what was allocated under an earlier one is refused. */
  void beginTerm() {
    allocating = false;
  }

  boolean isAllocating() {
    return allocating;
  }

  /** Whether an allocation of this term has no answer yet. */
  boolean isUnsettled() {
    return allocating && allocationTerm.equals(election.term());
  }

  /** Marks shards as vacant of which it is not known who is written down as their owner. */
  void vacateShardsInDoubt(Revision term) {
    if (!term.equals(doubtTerm)) {
      // What an earlier term sent is refused, for the leader's key has changed.
      shardsInDoubt.clear();
    }
    shardsInDoubt.forEach(id -> shards.get(id).vacate());
  }

  /**
   * Begins to allocate an epoch for a shard and its owner to be, unless another allocation is under
   * way.
   *
   * @param lowerBound an epoch below the new one, beside all that the counter knows of
   */
  void allocate(
      ShardId id, ShardState shard, ControllerName owner, WriterId writer, Epoch lowerBound) {
    if (allocating) {
      return;
    }
    allocating = true;
    shard.beginAllocation(writer);
    Epoch next = new Epoch(Math.max(counter, lowerBound.value()) + 1);
    Allocation allocation =
        new Allocation(id, shard, new OwnerInfo(id, owner, next), writer, loadedTerm.current());
    allocationTerm = allocation.term();
    long number = ++allocations;
    Transaction transaction =
        new Transaction()
            .guard(election.key(), allocation.term())
            .guard(EpochCounterCodec.KEY, counterRevision)
            .write(EpochCounterCodec.KEY, EpochCounterCodec.write(next.value()))
            .write(ShardOwnerCodec.key(id), ShardOwnerCodec.write(allocation.owner(), writer));
    context
        .store()
        .commit(
            transaction,
            CALL_TIMEOUT_MS,
            result -> {
              if (number == allocations) {
                handleResult(allocation, result);
              }
            });
  }

  /** An allocation under way. */
  private record Allocation(
      ShardId id, ShardState shard, OwnerInfo owner, WriterId writer, Revision term) {}

  private void handleResult(Allocation allocation, CommitResult result) {
    allocating = false;
    allocation.shard().endAllocation();
    boolean thisTerm = allocation.term().equals(election.term());
    if (result.isUnknown()
        && thisTerm
        && !allocation.owner().controller().equals(allocation.shard().owner())) {
      shardsInDoubt.add(allocation.id());
      doubtTerm = allocation.term();
    }
    if (result.isCommitted() && thisTerm) {
      // Those before it were guarded by the counter's last revision.
      shardsInDoubt.clear();
    }
    if (!loadedTerm.isCurrent(allocation.term())) {
      return;
    }
    if (result instanceof Committed committed) {
      complete(allocation, committed.revision());
    } else {
      // Also without an answer: what the counter holds now is only known after a new look, and a
      // later allocation behind the same guard is what settles it.
      loadedTerm.discard();
      loadedTerm.postponeLoading(RELOAD_PAUSE_MS);
    }
  }

  private void complete(Allocation allocation, Revision revision) {
    OwnerInfo owner = allocation.owner();
    counterRevision = revision;
    counter = owner.epoch().value();
    allocation
        .shard()
        .assignOwner(
            owner.controller(), allocation.writer(), owner.epoch(), shards.latestLeaseEnd());
    onAllocated.accept(allocation.id());
    context.info(
        "shard.epoch.allocated shard=%s epoch=%s owner=%s writer=%s",
        allocation.id(), owner.epoch(), owner.controller(), allocation.writer());
    context.count("epoch.minted");
    // The owner begins at once, and the others can tell the workers where to go.
    for (Member member : context.config().members()) {
      context.callPeer(
          member.label(),
          PeerPaths.HEARTBEAT_NOW,
          Json.object(),
          HEARTBEAT_NOW_TIMEOUT_MS,
          (status, body) -> {});
    }
  }
}
