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
 * Allocates epochs: each transaction raises the fleet's epoch counter and stores the shard's owner
 * under the new epoch. Only one allocation is pending at a time, and each is guarded by the
 * counter's revision, so that no epoch is allocated twice.
 */
final class EpochAllocator {
  private static final int CALL_TIMEOUT_MS = 1500;
  private static final int HEARTBEAT_NOW_TIMEOUT_MS = 1000;

  /**
   * The pause before the leader's state is loaded again after an allocation that was not committed.
   */
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
   * The term and the number of the latest allocation; answers to earlier allocations are ignored.
   */
  private Revision allocationTerm = Revision.ABSENT;

  private long allocations;

  /**
   * Shards whose new owner may still be stored by a transaction without an answer. Until the next
   * committed allocation, the last owner of such a shard gets no lease. That allocation settles the
   * outcome, since all allocations are guarded by the counter's revision.
   */
  private final Set<ShardId> shardsInDoubt = new TreeSet<>();

  private Revision doubtTerm = Revision.ABSENT;

  /**
   * Creates an allocator.
   *
   * @param onAllocated called with each shard that has been given a new epoch
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

  /**
   * Sets the counter to its stored value.
   *
   * @param revision the revision of the counter's key; {@link Revision#ABSENT} if the key does not
   *     exist
   * @param epoch the highest allocated epoch; 0 if the key does not exist
   */
  void restore(Revision revision, long epoch) {
    counterRevision = revision;
    counter = epoch;
  }

  /** Returns the highest epoch of the fleet. */
  long highest() {
    return counter;
  }

  /**
   * Ends the pending allocation when a term has been loaded: a commit under an earlier term fails.
   */
  void beginTerm() {
    allocating = false;
  }

  boolean isAllocating() {
    return allocating;
  }

  /** Reports whether an allocation of the present term has no answer yet. */
  boolean isUnsettled() {
    return allocating && allocationTerm.equals(election.term());
  }

  /** Marks the shards as vacant whose stored owner is uncertain. */
  void vacateShardsInDoubt(Revision term) {
    if (!term.equals(doubtTerm)) {
      // Allocations of an earlier term fail now, since the revision of the leader's key has
      // changed.
      shardsInDoubt.clear();
    }
    shardsInDoubt.forEach(id -> shards.get(id).vacate());
  }

  /**
   * Starts to allocate an epoch for a shard and its new owner; does nothing while another
   * allocation is pending.
   *
   * @param lowerBound the new epoch is higher than this epoch and than all allocated epochs
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

  /** A pending allocation. */
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
      // Earlier allocations were guarded by the counter's last revision, so they can't be committed
      // any more.
      shardsInDoubt.clear();
    }
    if (!loadedTerm.isCurrent(allocation.term())) {
      return;
    }
    if (result instanceof Committed committed) {
      complete(allocation, committed.revision());
    } else {
      // Without a commit the counter's value and revision may be outdated, so they are read again.
      // The next allocation is guarded by the revision read then: once it is committed, an
      // allocation without an answer can't be any more.
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
    // Asks all controllers for a heartbeat at once: the answer gives the new owner its lease and
    // tells the others where to redirect workers.
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
