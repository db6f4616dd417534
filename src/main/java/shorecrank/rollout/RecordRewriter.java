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
 * Converts stored values from newer forms to the forms of a lower feature level, in one pass over
 * the keys.
 *
 * <p>The pass starts once the stored phase is {@code FALLING}. From then on the guard on the
 * feature level's key refuses every write of a newer form. So no key up to the cursor gets a value
 * in a newer form again, and a pass can resume at a stored cursor.
 *
 * <p>A rewrite changes only the form of a value. It is guarded by the value's revision and the
 * leader's term. If the job's owner or a user's cancellation writes the value first, the rewrite is
 * refused and the page is read again; if the rewrite comes first, the other write is refused.
 */
final class RecordRewriter {
  private static final int PAGE_KEYS = 100;

  /**
   * Maximum fraction of the state service's write capacity that the pass uses, whatever rate is
   * configured.
   */
  private static final double CAPACITY_FRACTION = 0.2;

  private static final long RETRY_MS = 500;

  /**
   * Delay before the current page is read again if one of its values, in all earlier forms, exceeds
   * the state service's maximum value size.
   */
  private static final long TOO_LARGE_RETRY_MS = 2000;

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final SequentialStore store;
  private final List<Feature> features;
  private final List<String> prefixes;
  private final RateLimiter rate;

  /** Rewrites of the current page that have not been sent or must be sent again. */
  private final ArrayDeque<Rewrite> pending = new ArrayDeque<>();

  /** Key or prefix up to which the pass is complete; empty at the start. */
  private String cursor;

  /** Last key of the current page; null if no page has been read since the last one ended. */
  private String lastPageKey;

  /** Whether the current page is the last one of the current prefix. */
  private boolean isLastPage;

  /** Whether the current page must be read again before the cursor moves past it. */
  private boolean mustRereadPage;

  /**
   * Whether each value is written in a transaction of its own, after a transaction with several
   * values was too large.
   */
  private boolean isOnePerTransaction;

  private boolean done;
  private String tooLargeKey = "";
  private long rewritten;
  private long unreadable;

  /**
   * Creates a pass that starts after {@code cursor}.
   *
   * @param target the level whose forms remain
   * @param cursor the stored cursor of an earlier pass to the same level; empty to start from the
   *     first key
   * @param rewritesPerS the configured maximum number of values written per second
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
    // The pass does not take from the write budget of the leader's other writes, which are few.
    double maxRate = environment.maxChangesPerSecond() * CAPACITY_FRACTION;
    this.rate = new RateLimiter(Math.min(rewritesPerS, maxRate));
    this.cursor = cursor;
    this.done = prefixes.isEmpty();
  }

  /** Returns the key or prefix up to which the pass is complete; empty at its start. */
  String cursor() {
    return cursor;
  }

  /** Reports whether the pass is complete. */
  boolean isDone() {
    return done;
  }

  /** Returns the number of values rewritten. */
  long rewritten() {
    return rewritten;
  }

  /** Returns how many times a value could not be decoded and was left unchanged. */
  long unreadable() {
    return unreadable;
  }

  /**
   * Returns the key that blocks the pass because its value is too large in all earlier forms; empty
   * if there is none.
   */
  String tooLargeKey() {
    return tooLargeKey;
  }

  /** Continues the pass with at most one call to the state service. */
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

  /** Returns the prefix that the pass has reached; null if it has completed all of them. */
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

  /**
   * Schedules the rewrite of a value if it is in a newer form; counts it if it cannot be decoded.
   */
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
        environment.reportError(
            "state.unreadable", "store.value.unreadable key=%s".formatted(entry.key()));
      }
      return;
    }
  }

  /** Sends a transaction with as many rewrites as its size limits and the rate allow. */
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
      // A value that changed may have been written in a newer form just before the level began to
      // fall, so its page is read again.
      mustRereadPage = true;
      store.pause(RETRY_MS);
      batch.stream()
          .filter(rewrite -> !conflict.failedKeys().contains(rewrite.key()))
          .forEach(pending::add);
    } else if (result instanceof CommitResult.TooLarge) {
      handleTooLarge(batch);
    } else {
      // The transaction may or may not have been committed. Reading the page again before the
      // cursor moves past it finds values that were not rewritten.
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
    Rewrite rewrite = batch.get(0);
    if (rewrite.hasNextForm()) {
      pending.addFirst(rewrite.withNextForm());
      return;
    }
    // The job's owner writes a shorter record as tasks end, so a later rewrite may fit.
    tooLargeKey = rewrite.key();
    mustRereadPage = true;
    store.pause(TOO_LARGE_RETRY_MS);
  }

  /**
   * Moves the cursor past the current page, or has the page read again if its values may still be
   * in newer forms.
   */
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

  /** Moves the cursor to the next prefix; after the last one, ends the pass. */
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
