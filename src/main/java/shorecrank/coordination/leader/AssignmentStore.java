package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedValue;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.CommitResult.Committed;
import shorecrank.storage.CommitResult.Conflict;
import shorecrank.storage.ListResult;

/**
 * Reads all machine assignments from the state service and writes the changed buckets, one
 * transaction at a time.
 */
final class AssignmentStore {
  private static final int KEYS_PER_PAGE = 500;
  private static final int CALL_TIMEOUT_MS = 1500;

  /**
   * The minimum time between two transactions with assignments, so that machines that arrive
   * together share one.
   */
  private static final int SAVE_INTERVAL_MS = 1000;

  private final StepContext context;
  private final Election election;
  private final LoadedTerm loadedTerm;
  private final Consumer<AssignedMachine> onRecorded;
  private final Set<Integer> unsavedBuckets = new TreeSet<>();

  /**
   * The revisions of the buckets' keys as last read or written. They guard the next writes: a write
   * of unknown outcome that the state service carries out late must not overwrite a newer one.
   */
  private final Map<String, Revision> revisions = new TreeMap<>();

  private boolean saving;
  private MonotonicTime nextSaveAt = new MonotonicTime(0);

  /** The buckets that one transaction writes, and the values to be written by key. */
  private record Batch(
      Map<Integer, List<AssignedMachine>> buckets, Map<String, EncodedValue> values) {}

  /**
   * Creates a store that has read nothing yet.
   *
   * @param onRecorded called for each machine whose assignment was written
   */
  AssignmentStore(
      StepContext context,
      Election election,
      LoadedTerm loadedTerm,
      Consumer<AssignedMachine> onRecorded) {
    this.context = context;
    this.election = election;
    this.loadedTerm = loadedTerm;
    this.onRecorded = onRecorded;
  }

  /** Reports whether all assignments are stored in the state service. */
  boolean isWritten() {
    return unsavedBuckets.isEmpty() && !saving;
  }

  /** Reports whether a transaction with assignments, or a read of the buckets' keys, is pending. */
  boolean isSaving() {
    return saving;
  }

  /** Drops pending writes at the start of a term, after the assignments have been loaded. */
  void beginTerm() {
    unsavedBuckets.clear();
    saving = false;
  }

  /** Schedules a write of a machine's bucket. */
  void markUnsaved(MachineName name) {
    unsavedBuckets.add(BucketValues.bucketOf(name));
  }

  // ---- reading ---------------------------------------------------------------------------------

  /**
   * Reads all assignments again.
   *
   * @param callback receives the assignments; empty if a page could not be read
   */
  void load(Consumer<Optional<List<StoredAssignment>>> callback) {
    revisions.clear();
    readPages("", new ArrayList<>(), entries -> callback.accept(entries.map(this::restore)));
  }

  private List<StoredAssignment> restore(List<Entry> entries) {
    List<StoredAssignment> assignments = new ArrayList<>();
    for (Entry entry : entries) {
      revisions.put(entry.key(), entry.revision());
      MachineRecordCodec.readEach(
          entry.value(),
          context.settings().shards(),
          assignment ->
              assignment.ifPresentOrElse(
                  assignments::add,
                  // A machine with an unreadable record is assigned again when a heartbeat or the
                  // cloud's machine list contains it.
                  () -> context.reportUnreadableValue(entry.key())));
    }
    return assignments;
  }

  /**
   * Reads all keys page by page.
   *
   * @param after the last key that was read; empty for the first page
   * @param callback receives all entries; empty if a page could not be read
   */
  private void readPages(String after, List<Entry> read, Consumer<Optional<List<Entry>>> callback) {
    context
        .store()
        .list(
            BucketValues.PREFIX,
            after,
            KEYS_PER_PAGE,
            CALL_TIMEOUT_MS,
            result -> {
              if (!(result instanceof ListResult.Page page)) {
                callback.accept(Optional.empty());
                return;
              }
              List<Entry> entries = page.entries();
              read.addAll(entries);
              if (page.more() && !entries.isEmpty()) {
                readPages(entries.get(entries.size() - 1).key(), read, callback);
              } else {
                callback.accept(Optional.of(read));
              }
            });
  }

  /**
   * Reads the revisions of the buckets' keys again after a guard failed; no assignment is written
   * meanwhile.
   */
  void readRevisions() {
    Revision term = loadedTerm.current();
    saving = true;
    readPages(
        "",
        new ArrayList<>(),
        entries -> {
          if (!loadedTerm.isCurrent(term)) {
            return;
          }
          saving = false;
          if (entries.isPresent()) {
            revisions.clear();
            entries.get().forEach(entry -> revisions.put(entry.key(), entry.revision()));
          }
          nextSaveAt = context.now().plus(SAVE_INTERVAL_MS);
        });
  }

  // ---- writing ---------------------------------------------------------------------------------

  /** Returns the values of a bucket that holds these machines. */
  BucketValues values(int bucket, List<StoredAssignment> machines) {
    return BucketValues.of(
        bucket, machines, revisions.keySet(), context.config().state().valueKb());
  }

  /** Adds the writes of these values to a transaction, each guarded by its key's revision. */
  void addTo(Transaction transaction, Map<String, EncodedValue> values) {
    values.forEach(
        (key, value) ->
            value.addTo(transaction, key, revisions.getOrDefault(key, Revision.ABSENT)));
  }

  /**
   * Writes the changed buckets, as many as the write budget and a transaction allow.
   *
   * @param machines all machines of the fleet
   */
  void save(Collection<AssignedMachine> machines) {
    MonotonicTime now = context.now();
    if (saving || unsavedBuckets.isEmpty() || now.isBefore(nextSaveAt)) {
      return;
    }
    Batch batch = nextBatch(machines);
    if (!context.writeBudget().has(batch.values().size(), now)) {
      return;
    }
    context.writeBudget().take(batch.values().size(), now);
    saving = true;
    nextSaveAt = now.plus(SAVE_INTERVAL_MS);
    unsavedBuckets.removeAll(batch.buckets().keySet());
    Revision term = loadedTerm.current();
    Transaction transaction = new Transaction().guard(election.key(), term);
    addTo(transaction, batch.values());
    context
        .store()
        .commit(
            transaction,
            CALL_TIMEOUT_MS,
            result -> {
              saving = false;
              if (loadedTerm.isCurrent(term)) {
                handleSaved(batch, result);
              }
            });
  }

  private Batch nextBatch(Collection<AssignedMachine> machines) {
    Map<Integer, List<AssignedMachine>> byBucket = new TreeMap<>();
    unsavedBuckets.forEach(bucket -> byBucket.put(bucket, new ArrayList<>()));
    for (AssignedMachine machine : machines) {
      List<AssignedMachine> inBucket = byBucket.get(BucketValues.bucketOf(machine.name()));
      if (inBucket != null) {
        inBucket.add(machine);
      }
    }
    int maxValues =
        (int)
            Math.max(
                1, Math.min(context.config().state().txnOps(), context.writeBudget().rate() / 2));
    Batch batch = new Batch(new TreeMap<>(), new TreeMap<>());
    int bytes = 0;
    for (Map.Entry<Integer, List<AssignedMachine>> entry : byBucket.entrySet()) {
      List<AssignedMachine> inBucket = entry.getValue();
      BucketValues values =
          values(entry.getKey(), inBucket.stream().map(AssignedMachine::assignment).toList());
      boolean full =
          batch.values().size() + values.byKey().size() > maxValues
              || bytes + values.bytes() > StoreMessages.MAX_BATCH_BYTES;
      if (!batch.buckets().isEmpty() && full) {
        break;
      }
      batch.buckets().put(entry.getKey(), inBucket);
      batch.values().putAll(values.byKey());
      bytes += values.bytes();
    }
    return batch;
  }

  private void handleSaved(Batch batch, CommitResult result) {
    if (result instanceof Committed committed) {
      recordWritten(batch.buckets(), batch.values().keySet(), committed.revision());
      return;
    }
    unsavedBuckets.addAll(batch.buckets().keySet());
    nextSaveAt = context.now().plus(SAVE_INTERVAL_MS);
    if (result instanceof Conflict) {
      // A write of unknown outcome was carried out after all and changed a key's revision.
      readRevisions();
    }
  }

  private void recordWritten(
      Map<Integer, List<AssignedMachine>> buckets, Set<String> keys, Revision revision) {
    keys.forEach(key -> revisions.put(key, revision));
    buckets.values().forEach(inBucket -> inBucket.forEach(onRecorded));
  }

  // ---- writes as part of another transaction ---------------------------------------------------

  /**
   * Marks buckets as being written by the transaction of a {@link MachineTransfer}; no assignment
   * is saved until that transaction ends.
   */
  void beginTransfer(Set<Integer> buckets) {
    saving = true;
    unsavedBuckets.removeAll(buckets);
  }

  /**
   * Records that the transaction of a {@link MachineTransfer} was committed.
   *
   * @param revision the revision of the written keys
   */
  void commitTransfer(
      Map<Integer, List<AssignedMachine>> buckets, Set<String> keys, Revision revision) {
    saving = false;
    recordWritten(buckets, keys, revision);
  }

  /**
   * Schedules a write of the buckets of a {@link MachineTransfer} whose transaction was refused for
   * good.
   */
  void cancelTransfer(Set<Integer> buckets) {
    saving = false;
    unsavedBuckets.addAll(buckets);
  }
}
