package shorecrank.rollout;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.RateLimiter;

/**
 * Puts what stands in newer forms back into those of a lower level, in one pass over the keys.
 *
 * <p>The pass begins once the level is marked as falling. From then on every write of a newer form
 * fails at its guard, so nothing that the pass has left behind gets a newer form again, and it can
 * go on from any cursor that was written down. A value is written in another form with nothing else
 * changed, behind its own revision and the leader's term: who writes it at the same moment, its
 * owner or a user's cancellation, is either first, and the value is read again, or refused.
 */
final class RecordRewriter {
  private static final int PAGE = 100;

  /** So much of what the state service takes is used at the most, whatever rate is configured. */
  private static final double SHARE = 0.2;

  private static final long RETRY_MS = 500;
  private static final long TOO_LARGE_RETRY_MS = 2000;

  /** A value that is to be rewritten; {@code form} is the earlier form that is tried next. */
  private record Pending(Entry entry, List<ObjectNode> forms, int form) {
    ObjectNode value() {
      return forms.get(form);
    }

    Pending shorter() {
      return new Pending(entry, forms, form + 1);
    }
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final List<Feature> features;
  private final List<String> prefixes;
  private final RateLimiter budget;
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();
  private String cursor;
  private String pageEnd;
  private boolean pageIsLast;
  private boolean changedMeanwhile;
  private boolean oneByOne;
  private boolean busy;
  private boolean done;
  private MonotonicTime retryAt = MonotonicTime.NEVER;
  private String tooLarge = "";
  private long rewritten;
  private long unreadable;

  /**
   * @param rewritesPerS the rate that operators allow
   * @param cursor the last key that an earlier pass to the same level has left behind, or empty
   */
  RecordRewriter(
      LeaderEnvironment environment,
      Leadership leadership,
      FeatureLevel target,
      String cursor,
      double rewritesPerS) {
    this.environment = environment;
    this.leadership = leadership;
    this.features = Feature.storedAbove(target);
    Set<String> sorted = new TreeSet<>();
    features.forEach(f -> sorted.add(f.prefix()));
    this.prefixes = List.copyOf(sorted);
    // Its own share: what the leader writes otherwise needs little.
    double most = environment.changesPerSecond() * SHARE;
    this.budget = new RateLimiter(Math.min(rewritesPerS, most));
    this.cursor = cursor;
    this.done = prefixes.isEmpty();
  }

  /** The last key that is behind the pass. */
  String cursor() {
    return cursor;
  }

  boolean done() {
    return done;
  }

  long rewritten() {
    return rewritten;
  }

  long unreadable() {
    return unreadable;
  }

  /** The key that holds the pass up because no earlier form of it fits; empty if none does. */
  String tooLarge() {
    return tooLarge;
  }

  void tick() {
    if (busy || done || environment.now().before(retryAt)) {
      return;
    }
    if (!pending.isEmpty()) {
      rewrite();
    } else if (pageEnd != null) {
      endPage();
    } else if (environment.takeRequest()) {
      list();
    }
  }

  private String prefix() {
    return prefixes.stream()
        .filter(p -> cursor.startsWith(p) || p.compareTo(cursor) > 0)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }

  private void list() {
    String prefix = prefix();
    if (prefix == null) {
      done = true;
      return;
    }
    busy = true;
    String after = cursor.startsWith(prefix) ? cursor : "";
    environment.state(
        "GET",
        StoreMessages.list(prefix, after, PAGE),
        null,
        (status, body) -> {
          busy = false;
          if (status != 200) {
            retryAt = environment.now().plus(RETRY_MS);
            return;
          }
          List<Entry> page = StoreMessages.entries(body);
          page.forEach(this::consider);
          pageIsLast = !StoreMessages.more(body) || page.isEmpty();
          pageEnd = page.isEmpty() ? after : page.get(page.size() - 1).key();
        });
  }

  private void consider(Entry entry) {
    for (Feature feature : features) {
      boolean newer =
          entry.key().startsWith(feature.prefix()) && feature.downgrade().applies(entry.value());
      if (!newer) {
        continue;
      }
      List<ObjectNode> forms = feature.downgrade().earlierForms(entry.value());
      if (forms.isEmpty()) {
        unreadable++;
        environment.refused(
            "state.unreadable", "the value of " + entry.key() + " is unreadable, left as it is");
      } else {
        pending.add(new Pending(entry, forms, 0));
      }
      return;
    }
  }

  /** One transaction: as many values as fit, and as the rate allows. */
  private void rewrite() {
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    List<Pending> batch = new ArrayList<>();
    int bytes = 0;
    int most = oneByOne ? 1 : environment.transactionOperations();
    while (!pending.isEmpty() && batch.size() < most) {
      Pending next = pending.peek();
      bytes += Json.bytes(next.value()).length;
      boolean full = !batch.isEmpty() && bytes > StoreMessages.TXN_FILL_BYTES;
      if (full || !budget.tryTake(1, environment.now())) {
        break;
      }
      batch.add(pending.poll());
      transaction
          .guard(next.entry().key(), next.entry().revision())
          .write(next.entry().key(), next.value());
    }
    if (batch.isEmpty()) {
      return;
    }
    busy = true;
    environment.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          busy = false;
          answered(batch, status, status == 409 ? StoreMessages.failed(body) : Set.of());
        });
  }

  private void answered(List<Pending> batch, int status, Set<String> failed) {
    switch (status) {
      case 200 -> {
        rewritten += batch.size();
        environment.count("rollout.rewritten", batch.size());
        oneByOne = false;
        tooLarge = "";
      }
      case 409 -> {
        // Who was written meanwhile may have been so before the level fell: look once more.
        changedMeanwhile = true;
        retryAt = environment.now().plus(RETRY_MS);
        batch.stream().filter(p -> !failed.contains(p.entry().key())).forEach(pending::add);
      }
      case 400 -> refusedForSize(batch);
      default -> {
        // Carried out or not: the page is read again before it is left behind.
        changedMeanwhile = true;
        pending.addAll(batch);
        retryAt = environment.now().plus(RETRY_MS);
      }
    }
  }

  private void refusedForSize(List<Pending> batch) {
    if (batch.size() > 1) {
      oneByOne = true;
      pending.addAll(batch);
      return;
    }
    Pending one = batch.get(0);
    if (one.form() + 1 < one.forms().size()) {
      pending.addFirst(one.shorter());
      return;
    }
    // Its owner writes it shorter as its tasks end.
    tooLarge = one.entry().key();
    changedMeanwhile = true;
    retryAt = environment.now().plus(TOO_LARGE_RETRY_MS);
  }

  private void endPage() {
    String end = pageEnd;
    pageEnd = null;
    if (changedMeanwhile) {
      changedMeanwhile = false;
      return;
    }
    cursor = end;
    if (pageIsLast) {
      skipPrefix();
    }
  }

  /** Behind all keys of the present prefix. */
  private void skipPrefix() {
    String prefix = prefix();
    List<String> later = prefixes.stream().filter(p -> p.compareTo(prefix) > 0).toList();
    if (later.isEmpty()) {
      done = true;
    } else {
      cursor = later.get(0);
    }
  }
}
