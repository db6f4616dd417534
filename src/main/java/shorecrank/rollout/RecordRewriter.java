package shorecrank.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.leadership.SequentialStore;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.DowngradeCodec.Rewrite;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.RateLimiter;

/**
 * Puts values in newer stored forms back into those of a lower level, in one pass over the keys.
 *
 * <p>The pass begins once the level is marked as falling. From then on every write of a newer form
 * fails at its guard, so no key behind the cursor gets a newer form again, and the pass can go on
 * from any cursor that was written down. A value is written in another form with nothing else
 * changed, behind its own revision and the leader's term. If its owner or a user's cancellation
 * writes it at the same moment, either that write comes first, and the value is read again, or it
 * is refused.
 */
final class RecordRewriter {
  private static final int PAGE_KEYS = 100;

  /** The most of the state service's capacity that is used, whatever rate is configured. */
  private static final double CAPACITY_FRACTION = 0.2;

  private static final long RETRY_MS = 500;
  private static final long TOO_LARGE_RETRY_MS = 2000;

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final SequentialStore store;
  private final List<Feature> features;
  private final List<String> prefixes;
  private final RateLimiter rate;

  /** Values of the present page that are still to be written. */
  private final ArrayDeque<Rewrite> pending = new ArrayDeque<>();

  private String cursor;

  /** The last key of the present page; null before a page is read. */
  private String lastPageKey;

  private boolean isLastPage;

  /** Whether the present page has to be read again before the cursor passes it. */
  private boolean mustRereadPage;

  /** Whether each value is written alone, since several were too large for one transaction. */
  private boolean isOnePerTransaction;

  private boolean done;
  private String tooLargeKey = "";
  private long rewritten;
  private long unreadable;

  /**
   * @param rewritesPerS the most values written in a second, as operators allow
   * @param cursor the last key that an earlier pass to the same level has passed, or empty
   */
  RecordRewriter(
      LeaderEnvironment environment,
      Leadership leadership,
      FeatureLevel target,
      String cursor,
      double rewritesPerS) {
    this.environment = environment;
    this.leadership = leadership;
    this.store = new SequentialStore(environment);
    this.features = Feature.withStoredFormsAbove(target);
    Set<String> sorted = new TreeSet<>();
    features.forEach(feature -> sorted.add(feature.keyPrefix()));
    this.prefixes = List.copyOf(sorted);
    // A limiter of its own, since the leader needs little for its other writes.
    double maxRate = environment.maxChangesPerSecond() * CAPACITY_FRACTION;
    this.rate = new RateLimiter(Math.min(rewritesPerS, maxRate));
    this.cursor = cursor;
    this.done = prefixes.isEmpty();
  }

  /** The last key that the pass has passed. */
  String cursor() {
    return cursor;
  }

  /** Whether the pass is complete. */
  boolean isDone() {
    return done;
  }

  /** How many values were written. */
  long rewritten() {
    return rewritten;
  }

  /** How many values could not be read, and were left as they are. */
  long unreadable() {
    return unreadable;
  }

  /** The key that holds the pass up because no earlier form of it fits; empty if none does. */
  String tooLargeKey() {
    return tooLargeKey;
  }

  /** Goes on with the pass, by one call at most. */
  void tick() {
    if (done || !store.isReady()) {
      return;
    }
    if (!pending.isEmpty()) {
      commitBatch();
    } else if (lastPageKey != null) {
      endPage();
    } else if (environment.hasRequestBudget()) {
      listPage();
    }
  }

  /** The prefix at which the pass is; null if it has passed all of them. */
  private String currentPrefix() {
    return prefixes.stream()
        .filter(prefix -> cursor.startsWith(prefix) || prefix.compareTo(cursor) > 0)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }

  private void listPage() {
    String prefix = currentPrefix();
    if (prefix == null) {
      done = true;
      return;
    }
    String after = cursor.startsWith(prefix) ? cursor : "";
    store.list(
        prefix,
        after,
        PAGE_KEYS,
        result -> {
          if (!(result instanceof ListResult.Page page)) {
            store.pause(RETRY_MS);
            return;
          }
          List<Entry> entries = page.entries();
          entries.forEach(this::addIfNewerForm);
          isLastPage = !page.more() || entries.isEmpty();
          lastPageKey = entries.isEmpty() ? after : entries.get(entries.size() - 1).key();
        });
  }

  private void addIfNewerForm(Entry entry) {
    for (Feature feature : features) {
      boolean isNewer =
          entry.key().startsWith(feature.keyPrefix())
              && feature.downgradeCodec().isNewerForm(entry);
      if (!isNewer) {
        continue;
      }
      Rewrite rewrite = feature.downgradeCodec().rewrite(entry);
      if (rewrite.isReadable()) {
        pending.add(rewrite);
      } else {
        unreadable++;
        environment.reportRefusal(
            "state.unreadable", "store.value.unreadable key=%s".formatted(entry.key()));
      }
      return;
    }
  }

  /** Sends one transaction: as many values as fit, and as the rate allows. */
  private void commitBatch() {
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    List<Rewrite> batch = new ArrayList<>();
    int bytes = 0;
    int maxValues = isOnePerTransaction ? 1 : environment.maxTransactionOperations();
    while (!pending.isEmpty() && batch.size() < maxValues) {
      Rewrite next = pending.peek();
      bytes += next.bytes();
      boolean isFull = !batch.isEmpty() && bytes > StoreMessages.MAX_BATCH_BYTES;
      if (isFull || !rate.tryTake(1, environment.now())) {
        break;
      }
      batch.add(pending.poll());
      next.addTo(transaction);
    }
    if (!batch.isEmpty()) {
      store.commit(transaction, result -> handleResult(batch, result));
    }
  }

  private void handleResult(List<Rewrite> batch, CommitResult result) {
    if (result instanceof CommitResult.Committed) {
      rewritten += batch.size();
      environment.count("rollout.rewritten", batch.size());
      isOnePerTransaction = false;
      tooLargeKey = "";
    } else if (result instanceof CommitResult.Conflict conflict) {
      // Values that changed meanwhile may have done so before the level fell: look once more.
      mustRereadPage = true;
      store.pause(RETRY_MS);
      batch.stream()
          .filter(rewrite -> !conflict.failedKeys().contains(rewrite.key()))
          .forEach(pending::add);
    } else if (result instanceof CommitResult.TooLarge) {
      handleTooLarge(batch);
    } else {
      // Carried out or not, the page is read again before the cursor passes it.
      mustRereadPage = true;
      pending.addAll(batch);
      store.pause(RETRY_MS);
    }
  }

  private void handleTooLarge(List<Rewrite> batch) {
    if (batch.size() > 1) {
      isOnePerTransaction = true;
      pending.addAll(batch);
      return;
    }
    Rewrite only = batch.get(0);
    if (only.hasNextForm()) {
      pending.addFirst(only.withNextForm());
      return;
    }
    // Its owner writes it shorter as its tasks end.
    tooLargeKey = only.key();
    mustRereadPage = true;
    store.pause(TOO_LARGE_RETRY_MS);
  }

  private void endPage() {
    String end = lastPageKey;
    lastPageKey = null;
    if (mustRereadPage) {
      mustRereadPage = false;
      return;
    }
    cursor = end;
    if (isLastPage) {
      advancePrefix();
    }
  }

  /** Moves the cursor to the next prefix. */
  private void advancePrefix() {
    String current = currentPrefix();
    List<String> later = prefixes.stream().filter(prefix -> prefix.compareTo(current) > 0).toList();
    if (later.isEmpty()) {
      done = true;
    } else {
      cursor = later.get(0);
    }
  }
}
