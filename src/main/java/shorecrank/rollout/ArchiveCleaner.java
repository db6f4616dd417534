package shorecrank.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * Removes archives that are no longer kept, and what was left of those that were never completed.
 * An archive's index entry goes last, so that an interrupted removal is found again.
 */
final class ArchiveCleaner {
  private static final int MAX_ARCHIVES = 500;
  private static final long RETRY_MS = 1000;

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final int kept;
  private final ArrayDeque<String> toDrop = new ArrayDeque<>();
  private boolean due = true;
  private boolean busy;
  private MonotonicTime retryAt = MonotonicTime.NEVER;

  ArchiveCleaner(LeaderEnvironment environment, Leadership leadership, int kept) {
    this.environment = environment;
    this.leadership = leadership;
    this.kept = kept;
  }

  /** An archive was completed: there may be one too many. */
  void look() {
    due = true;
  }

  /** Once a round, while no archive is being made. */
  void tick() {
    if (busy || environment.now().before(retryAt)) {
      return;
    }
    if (!toDrop.isEmpty()) {
      drop();
    } else if (due && environment.takeRequest()) {
      list();
    }
  }

  private void list() {
    busy = true;
    environment.state(
        "GET",
        StoreMessages.list(ArchiveKeys.INDEX, "", MAX_ARCHIVES),
        null,
        (status, body) -> {
          busy = false;
          if (status != 200) {
            retryAt = environment.now().plus(RETRY_MS);
            return;
          }
          due = false;
          List<ArchiveKeys.IndexEntry> complete = new ArrayList<>();
          for (StoreMessages.Entry e : StoreMessages.entries(body)) {
            ArchiveKeys.IndexEntry entry = ArchiveKeys.read(e.key(), e.value());
            if (entry == null) {
              environment.refused("state.unreadable", "the value of " + e.key() + " is unreadable");
            } else if (entry.complete()) {
              complete.add(entry);
            } else {
              // How many chunks it had is not known; they are found by looking.
              findChunks(entry.id());
            }
          }
          // Ids begin with the time, so they are in order.
          for (int i = 0; i < complete.size() - kept; i++) {
            ArchiveKeys.IndexEntry old = complete.get(i);
            for (int chunk = 0; chunk < old.chunks(); chunk++) {
              toDrop.add(ArchiveKeys.chunk(old.id(), chunk));
            }
            toDrop.add(ArchiveKeys.index(old.id()));
          }
        });
  }

  private void findChunks(String id) {
    busy = true;
    String prefix = ArchiveKeys.chunk(id, 0);
    prefix = prefix.substring(0, prefix.lastIndexOf('/') + 1);
    environment.state(
        "GET",
        StoreMessages.list(prefix, "", MAX_ARCHIVES),
        null,
        (status, body) -> {
          busy = false;
          if (status != 200) {
            due = true;
            return;
          }
          StoreMessages.entries(body).forEach(e -> toDrop.add(e.key()));
          if (StoreMessages.more(body)) {
            due = true;
          } else {
            toDrop.add(ArchiveKeys.index(id));
          }
        });
  }

  private void drop() {
    int count = Math.min(toDrop.size(), environment.transactionOperations());
    if (!environment.takeWrites(count)) {
      return;
    }
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    List<String> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      batch.add(toDrop.poll());
    }
    batch.forEach(transaction::drop);
    busy = true;
    environment.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          busy = false;
          if (status != 200) {
            retryAt = environment.now().plus(RETRY_MS);
            // Removed already or not, asking again does no harm.
            for (int i = batch.size() - 1; i >= 0; i--) {
              toDrop.addFirst(batch.get(i));
            }
          }
        });
  }
}
