package shorecrank.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.leadership.SequentialStore;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.ArchiveKeys.IndexEntry;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;

/**
 * Removes archives that are no longer archivesToKeep, and what was left of those that were never
 * completed. An archive's index entry goes last, so that an interrupted removal is found again.
 */
final class ArchiveCleaner {
  private static final int PAGE_KEYS = 500;
  private static final long RETRY_MS = 1000;

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final SequentialStore store;
  private final int archivesToKeep;

  /** Keys that are to be handleRemoval, in this order. */
  private final ArrayDeque<String> toRemove = new ArrayDeque<>();

  private boolean isScanDue = true;

  /**
   * @param archivesToKeep how many complete archives stay
   */
  ArchiveCleaner(LeaderEnvironment environment, Leadership leadership, int archivesToKeep) {
    this.environment = environment;
    this.leadership = leadership;
    this.store = new SequentialStore(environment);
    this.archivesToKeep = archivesToKeep;
  }

  /** Has the archives looked through again: one may have been completed. */
  void scheduleScan() {
    isScanDue = true;
  }

  /** Goes on with the removal; called once a round while no archive is being written. */
  void tick() {
    if (!store.isReady()) {
      return;
    }
    if (!toRemove.isEmpty()) {
      removeBatch();
    } else if (isScanDue && environment.hasRequestBudget()) {
      store.list(ArchiveKeys.INDEX_PREFIX, "", PAGE_KEYS, this::handleArchiveList);
    }
  }

  private void handleArchiveList(ListResult result) {
    if (!(result instanceof ListResult.Page page)) {
      store.pause(RETRY_MS);
      return;
    }
    isScanDue = false;
    List<IndexEntry> complete = new ArrayList<>();
    for (Entry stored : page.entries()) {
      Optional<IndexEntry> entry = ArchiveValueCodec.readIndex(stored.key(), stored.value());
      if (entry.isEmpty()) {
        environment.reportRefusal(
            "state.unreadable", "store.value.unreadable key=%s".formatted(stored.key()));
      } else if (entry.get().isComplete()) {
        complete.add(entry.get());
      } else {
        // How many chunks it has is not known; they have to be listed.
        listChunks(entry.get().id());
      }
    }
    // Ids begin with the time, so the oldest come first.
    for (int i = 0; i < complete.size() - archivesToKeep; i++) {
      IndexEntry expired = complete.get(i);
      for (int chunk = 0; chunk < expired.chunks(); chunk++) {
        toRemove.add(ArchiveKeys.chunkKey(expired.id(), chunk));
      }
      toRemove.add(ArchiveKeys.indexKey(expired.id()));
    }
  }

  private void listChunks(String id) {
    store.list(
        ArchiveKeys.chunkPrefix(id),
        "",
        PAGE_KEYS,
        result -> {
          if (!(result instanceof ListResult.Page page)) {
            isScanDue = true;
            return;
          }
          page.entries().forEach(entry -> toRemove.add(entry.key()));
          if (page.more()) {
            isScanDue = true;
          } else {
            toRemove.add(ArchiveKeys.indexKey(id));
          }
        });
  }

  private void removeBatch() {
    int count = Math.min(toRemove.size(), environment.maxTransactionOperations());
    if (!environment.tryTakeWrites(count)) {
      return;
    }
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    List<String> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      batch.add(toRemove.poll());
    }
    batch.forEach(transaction::delete);
    store.commit(transaction, result -> handleRemoval(batch, result));
  }

  private void handleRemoval(List<String> batch, CommitResult result) {
    if (!result.isCommitted()) {
      store.pause(RETRY_MS);
      // Whether or not they are gone already, removing them again does no harm.
      for (int i = batch.size() - 1; i >= 0; i--) {
        toRemove.addFirst(batch.get(i));
      }
    }
  }
}
