package shorecrank.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import shorecrank.leadership.LeaderKey.Reading;
import shorecrank.leadership.LeaderKey.WriteOutcome;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.ReadResult;
import shorecrank.storage.StateStore;
import shorecrank.storage.WatchResult;

/**
 * Tests that a leader's key is read again in each term, and has at most one write in flight or in
 * doubt.
 */
class LeaderKeyTest {
  private static final long RETRY_MS = 300;

  /** A state service that keeps each call until the test answers it. */
  private static final class ManualStore implements StateStore {
    private Consumer<ReadResult> read;
    private Consumer<CommitResult> commit;
    private JsonNode transaction;

    @Override
    public void read(String key, int timeoutMs, Consumer<ReadResult> then) {
      read = then;
    }

    @Override
    public void list(
        String prefix, String after, int limit, int timeoutMs, Consumer<ListResult> then) {
      throw new AssertionError("not expected");
    }

    @Override
    public void watch(String prefix, long afterRevision, int holdMs, Consumer<WatchResult> then) {
      throw new AssertionError("not expected");
    }

    @Override
    public void readChanges(
        String prefix, long afterRevision, int timeoutMs, Consumer<WatchResult> then) {
      throw new AssertionError("not expected");
    }

    @Override
    public void commit(Transaction sent, int timeoutMs, Consumer<CommitResult> then) {
      transaction = sent.body();
      commit = then;
    }

    private void answerRead(ReadResult result) {
      Consumer<ReadResult> then = read;
      read = null;
      then.accept(result);
    }

    private void answerCommit(CommitResult result) {
      Consumer<CommitResult> then = commit;
      commit = null;
      then.accept(result);
    }

    private String written() {
      return transaction.path("apply").path(0).path("data").asText();
    }
  }

  /** An environment with a clock that the test sets. */
  private static final class ManualEnvironment implements LeaderEnvironment {
    private final ManualStore store = new ManualStore();
    private final List<String> refusals = new ArrayList<>();
    private long nowMs;

    @Override
    public MonotonicTime now() {
      return new MonotonicTime(nowMs);
    }

    @Override
    public long wallMs() {
      return nowMs;
    }

    @Override
    public StateStore store() {
      return store;
    }

    @Override
    public boolean hasWriteBudget(int changes) {
      return true;
    }

    @Override
    public boolean tryTakeWrites(int changes) {
      return true;
    }

    @Override
    public boolean hasRequestBudget() {
      return true;
    }

    @Override
    public double maxChangesPerSecond() {
      return 100;
    }

    @Override
    public int maxTransactionOperations() {
      return 100;
    }

    @Override
    public int maxValueBytes() {
      return 10_000;
    }

    @Override
    public void info(String format, Object... args) {}

    @Override
    public void reportError(String metric, String what) {
      refusals.add(metric);
    }

    @Override
    public void gauge(String metric, double value) {}

    @Override
    public void count(String metric, long by) {}
  }

  /** An election whose outcome and term the test sets. */
  private static final class ManualLeadership implements Leadership {
    private boolean isLeading = true;
    private Revision term = new Revision(1);

    @Override
    public boolean isLeading() {
      return isLeading;
    }

    @Override
    public Revision term() {
      return term;
    }

    @Override
    public void guard(Transaction transaction) {
      transaction.guard("leader", term);
    }

    @Override
    public void addLevelSwitch(Transaction transaction, FeatureLevel to) {}

    @Override
    public void onLevelSwitched(FeatureLevel to, Revision revision) {}
  }

  /** Rules by which a read resolves a write in doubt only if it finds a changed revision. */
  private static final class RevisionRules implements LeaderKey.Rules<String> {
    private final List<Boolean> outcomes = new ArrayList<>();
    private boolean mayWrite = true;

    @Override
    public boolean canWrite() {
      return mayWrite;
    }

    @Override
    public void addGuards(Transaction transaction) {
      transaction.guard("gate", new Revision(2));
    }

    @Override
    public void onGuardsFailed(Set<String> failedKeys) {}

    @Override
    public boolean isConflictInDoubt() {
      return false;
    }

    @Override
    public WriteOutcome resolveOutcome(Reading reading) {
      return reading.isChanged() ? WriteOutcome.COMMITTED : WriteOutcome.UNKNOWN;
    }

    @Override
    public void onOutcomeResolved(boolean isCommitted, String before) {
      outcomes.add(isCommitted);
    }
  }

  private static final LeaderKeyCodec<String> CODEC =
      new LeaderKeyCodec<>(
          "key",
          "initial",
          stored -> Optional.ofNullable(stored.isTextual() ? stored.asText() : null),
          TextNode::valueOf);

  private final ManualEnvironment environment = new ManualEnvironment();
  private final ManualStore store = environment.store;
  private final ManualLeadership leadership = new ManualLeadership();
  private final RevisionRules rules = new RevisionRules();
  private final LeaderKey<String> key = new LeaderKey<>(environment, leadership, CODEC, rules);

  private static ReadResult found(JsonNode value, long revision) {
    return new ReadResult.Found(new Entry("key", value, new Revision(revision), 0));
  }

  private static ReadResult found(String value, long revision) {
    return found(TextNode.valueOf(value), revision);
  }

  private void read(ReadResult result) {
    key.tick();
    store.answerRead(result);
  }

  private CommitResult write(String value, CommitResult result) {
    List<CommitResult> results = new ArrayList<>();
    key.write(value, transaction -> {}, results::add);
    store.answerCommit(result);
    assertEquals(1, results.size());
    return results.get(0);
  }

  @Test
  void keyIsReadAgainInEachTerm() {
    assertFalse(key.isRead());
    read(new ReadResult.Absent(1));
    assertTrue(key.isIdle());
    assertEquals("initial", key.value());
    leadership.term = new Revision(5);
    assertFalse(key.isRead());
    read(found("other", 4));
    assertTrue(key.isIdle());
    assertEquals("other", key.value());
    leadership.isLeading = false;
    assertFalse(key.isRead());
    key.tick();
    leadership.isLeading = true;
    assertFalse(key.isRead(), "a term that was lost has to be read again");
  }

  @Test
  void failedReadIsRetriedAfterAPause() {
    read(new ReadResult.Unavailable(0));
    key.tick();
    assertNull(store.read);
    environment.nowMs += RETRY_MS;
    read(found("value", 3));
    assertEquals("value", key.value());
  }

  @Test
  void unreadableValueIsReportedAndNotWritten() {
    read(found("known", 3));
    leadership.term = new Revision(5);
    read(found(Json.array(), 4));
    assertTrue(key.isRead());
    assertFalse(key.isReadable());
    assertFalse(key.isIdle());
    assertEquals(List.of("state.unreadable"), environment.refusals);
  }

  @Test
  void writeIsGuardedByTermRulesAndRevision() {
    read(found("old", 3));
    assertTrue(write("new", new CommitResult.Committed(new Revision(7))).isCommitted());
    assertEquals(
        "[{\"k\":\"leader\",\"stamp\":1},{\"k\":\"gate\",\"stamp\":2},{\"k\":\"key\",\"stamp\":3}]",
        store.transaction.path("guards").toString());
    assertEquals("new", key.value());
    assertEquals(new Revision(7), key.revision());
    assertTrue(key.isIdle());
  }

  @Test
  void refusedWriteLeavesTheValueUnchanged() {
    read(found("old", 3));
    write("new", new CommitResult.Refused(429));
    assertEquals("old", key.value());
    assertTrue(key.isIdle());
    write("new", new CommitResult.Conflict(Set.of("key")));
    assertEquals("old", key.value());
    assertFalse(key.isRead(), "a failed guard makes the key be read again");
    assertEquals(List.of(), rules.outcomes);
  }

  @Test
  void unknownOutcomeIsResolvedByWritingTheKnownValueAgain() {
    read(found("old", 3));
    write("new", new CommitResult.Unknown(0));
    assertTrue(key.isInDoubt());
    assertFalse(key.isIdle());
    assertEquals("new", key.pending().orElseThrow());
    environment.nowMs += RETRY_MS;
    key.tick();
    assertEquals("old", store.written());
    store.answerCommit(new CommitResult.Committed(new Revision(8)));
    assertEquals(List.of(false), rules.outcomes);
    assertEquals("old", key.value());
    assertTrue(key.isIdle());
  }

  @Test
  void lateCommitIsDetectedByReadingAgain() {
    read(found("old", 3));
    write("new", new CommitResult.Unknown(0));
    environment.nowMs += RETRY_MS;
    key.tick();
    store.answerCommit(new CommitResult.Conflict(Set.of("key")));
    assertTrue(key.isInDoubt());
    environment.nowMs += RETRY_MS;
    read(found("new", 7));
    assertEquals(List.of(true), rules.outcomes);
    assertEquals("new", key.value());
    assertTrue(key.isIdle());
  }

  @Test
  void answerAfterALostTermHasAnUnknownOutcome() {
    read(found("old", 3));
    List<CommitResult> results = new ArrayList<>();
    key.write("new", transaction -> {}, results::add);
    leadership.isLeading = false;
    key.tick();
    store.answerCommit(new CommitResult.Committed(new Revision(7)));
    assertTrue(results.get(0).isUnknown());
    assertTrue(key.isInDoubt());
    assertEquals("old", key.value());
  }

  @Test
  void keyThatMayNotBeWrittenIsReadPeriodically() {
    rules.mayWrite = false;
    read(found("old", 3));
    assertFalse(key.isIdle());
    key.tick();
    assertNull(store.read);
    environment.nowMs += 1000;
    read(found("newer", 4));
    assertEquals("newer", key.value());
  }
}
