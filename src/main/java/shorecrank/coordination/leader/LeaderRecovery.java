package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.storage.ListResult;
import shorecrank.storage.ReadResult;

/**
 * Loads the state that a leader needs before it acts: the epoch counter, the shards' owners and the
 * machine assignments. It runs at the start of a term, and again within a term after a write of
 * unknown outcome.
 */
final class LeaderRecovery {
  private static final int CALL_TIMEOUT_MS = 1500;
  private static final int RETRY_MS = 300;
  private static final int MAX_SHARDS = 200;

  private final StepContext context;
  private final Election election;
  private final LoadedTerm loadedTerm;
  private final EpochAllocator epochs;
  private final ShardLeaseTable shards;
  private final MachineDirectory machines;
  private final Runnable onLoaded;
  private boolean loading;

  /**
   * Creates a recovery.
   *
   * @param onLoaded runs when everything has been loaded and the process still leads under the same
   *     term
   */
  LeaderRecovery(
      StepContext context,
      Election election,
      LoadedTerm loadedTerm,
      EpochAllocator epochs,
      ShardLeaseTable shards,
      MachineDirectory machines,
      Runnable onLoaded) {
    this.context = context;
    this.election = election;
    this.loadedTerm = loadedTerm;
    this.epochs = epochs;
    this.shards = shards;
    this.machines = machines;
    this.onLoaded = onLoaded;
  }

  /** Reports whether loading is in progress. */
  boolean isLoading() {
    return loading;
  }

  /** Starts to load under the election's present term. */
  void load() {
    loading = true;
    Revision term = election.term();
    context
        .store()
        .read(EpochCounterCodec.KEY, CALL_TIMEOUT_MS, result -> handleCounter(term, result));
  }

  private void handleCounter(Revision term, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      long epoch = EpochCounterCodec.read(found.entry().value());
      if (epoch < 0) {
        // Taking an unreadable counter for 0 would allocate epochs a second time.
        context.reportUnreadableValue(EpochCounterCodec.KEY);
        retryLater();
        return;
      }
      epochs.restore(found.entry().revision(), epoch);
    } else if (result instanceof ReadResult.Absent) {
      epochs.restore(Revision.ABSENT, 0);
    } else {
      retryLater();
      return;
    }
    context
        .store()
        .list(
            ShardOwnerCodec.PREFIX,
            "",
            MAX_SHARDS,
            CALL_TIMEOUT_MS,
            owners -> handleOwners(term, owners));
  }

  private void handleOwners(Revision term, ListResult result) {
    if (!(result instanceof ListResult.Page page)) {
      retryLater();
      return;
    }
    shards.reset();
    for (Entry entry : page.entries()) {
      OwnerInfo owner = ShardOwnerCodec.read(entry.value());
      ShardState shard = shards.get(owner.shard());
      if (shard != null) {
        // The previous leader may have renewed the owner's lease just before its term ended.
        MonotonicTime leaseEnd = shards.latestLeaseEnd();
        shard.assignOwner(
            owner.controller(), ShardOwnerCodec.readWriter(entry.value()), owner.epoch(), leaseEnd);
      }
    }
    epochs.vacateShardsInDoubt(term);
    machines.load(loaded -> handleMachines(term, loaded));
  }

  private void handleMachines(Revision term, boolean loaded) {
    if (!loaded) {
      retryLater();
      return;
    }
    loading = false;
    if (election.term().equals(term) && election.isLeading()) {
      loadedTerm.markLoaded(term);
      onLoaded.run();
      context.info(
          "leader.term.loaded term=%s epoch=%d machines=%d",
          term, epochs.highest(), machines.size());
    }
  }

  private void retryLater() {
    loading = false;
    loadedTerm.postponeLoading(RETRY_MS);
  }
}
