package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages.MachineAssignment;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.StoreMessages;

/**
 * The leader's machines and the shards they are assigned to: in memory, in the state service, and
 * as numbered changes for the other controllers.
 */
final class MachineDirectory {
  private static final String PREFIX = "hosts/";
  private static final String MACHINES = "m";

  /** Machines are written down many to a key: a change a machine would take seconds' budgets. */
  private static final int BUCKETS = 32;

  /** So much of a value is filled; the rest is for what stands around the machines. */
  private static final double VALUE_FILL = 0.9;

  private static final int VALUE_OVERHEAD_BYTES = 20;
  private static final int PAGE = 500;
  private static final int CALL_MS = 1500;

  /** Machines that come at once are written together. */
  private static final int SAVE_PAUSE_MS = 1000;

  /**
   * At least so many removals are kept, and as many as there are machines: a controller that lags
   * further behind gets all assignments, which is then the shorter message.
   */
  private static final int MIN_KEPT_REMOVALS = 1000;

  /** A machine and its assignment. */
  static final class Machine {
    MachineInfo info;
    ShardId shard;
    Epoch term;
    MonotonicTime since;

    /** The order under which it is to be handed over, or has come to its shard. */
    MoveId move = MoveId.NONE;

    /** It is to be emptied for another shard. */
    boolean handoverRequested;

    /** A shard whose records name it, although it is assigned to another; null if there is none. */
    ShardId reclaimedBy;

    MonotonicTime listedAt = MonotonicTime.NEVER;

    /** Whether another assignment is being written, so that it is not known whose it is. */
    private boolean inTransfer;

    /** Whether the assignment stands in the state service. */
    private boolean recorded;

    /** The change in which it was last touched. */
    private long version;
  }

  /** A machine that is no longer assigned. */
  private record Removal(long version, MachineName name) {}

  /** What has changed since a controller's version; all assignments if {@code whole}. */
  record Changes(boolean whole, List<MachineAssignment> assigned, List<MachineName> removed) {}

  private final StepContext context;
  private final Election election;
  private final Supplier<Revision> loadedTerm;
  private final Map<MachineName, Machine> machines = new TreeMap<>();
  private final Set<Integer> unsaved = new TreeSet<>();

  /**
   * The revisions of the keys as last read or written: an own write without an answer may come
   * after a later one, and must not put what was there before in its place.
   */
  private final Map<String, Revision> revisions = new TreeMap<>();

  private final ArrayDeque<Removal> removals = new ArrayDeque<>();
  private long removalsFrom;
  private long version;
  private boolean saving;
  private MonotonicTime saveAt = new MonotonicTime(0);

  /**
   * @param loadedTerm the term under which the leader works now; answers of another are ignored
   */
  MachineDirectory(StepContext context, Election election, Supplier<Revision> loadedTerm) {
    this.context = context;
    this.election = election;
    this.loadedTerm = loadedTerm;
  }

  boolean contains(MachineName name) {
    return machines.containsKey(name);
  }

  /** Null if it is not known. */
  Machine get(MachineName name) {
    return machines.get(name);
  }

  Collection<Machine> all() {
    return machines.values();
  }

  int size() {
    return machines.size();
  }

  /** How many machines a shard has. */
  long count(ShardId shard) {
    return machines.values().stream().filter(m -> m.shard.equals(shard)).count();
  }

  /** The term under which the assignments were read. */
  Revision term() {
    return loadedTerm.get();
  }

  /** The number of the last change. */
  long version() {
    return version;
  }

  /** Whether all assignments stand in the state service. */
  boolean isWritten() {
    return unsaved.isEmpty() && !saving;
  }

  // ---- changes ---------------------------------------------------------------------------------

  /** A machine belongs to a shard from now on, under the shard's epoch. */
  void assign(MachineInfo info, ShardId shard, Epoch term) {
    put(info, shard, term);
    unsaved.add(bucket(info.name()));
  }

  private void reassign(Machine machine, NextAssignment next) {
    Machine again = put(machine.info, next.shard, next.term);
    again.recorded = true;
  }

  private Machine put(MachineInfo info, ShardId shard, Epoch term) {
    Machine machine = new Machine();
    machine.info = info;
    machine.shard = shard;
    machine.term = term;
    machine.since = context.now();
    machines.put(info.name(), machine);
    machine.version = ++version;
    context.info("machine %s: lent to part %s under epoch %s", info.name(), shard, machine.term);
    context.count("machine.lent");
    return machine;
  }

  /** The owner is to let the machine run empty and hand it back, under an order's id. */
  void handoverRequested(Machine machine, MoveId move) {
    machine.handoverRequested = true;
    machine.move = move;
    machine.version = ++version;
  }

  /** The owner is to say when it hears the machine. */
  void awaitArrival(Machine machine, MoveId move) {
    machine.handoverRequested = false;
    machine.move = move;
    machine.version = ++version;
  }

  /** The owner may use the machine; the order that concerned it is over. */
  void keep(Machine machine) {
    machine.handoverRequested = false;
    machine.move = MoveId.NONE;
    machine.version = ++version;
  }

  /** A machine is no longer assigned as owners know. */
  void remove(MachineName name) {
    if (machines.remove(name) != null) {
      unsaved.add(bucket(name));
    }
    tellRemoved(name);
  }

  private void tellRemoved(MachineName name) {
    removals.add(new Removal(++version, name));
    while (removals.size() > Math.max(MIN_KEPT_REMOVALS, machines.size())) {
      removalsFrom = removals.poll().version;
    }
  }

  /** Who knows a version of this term gets what changed since, others all of it. */
  Changes changesSince(long known, boolean oneShard) {
    boolean whole = known < removalsFrom || known > version;
    List<MachineAssignment> assigned = new ArrayList<>();
    List<MachineName> removed = new ArrayList<>();
    if (known == version) {
      return new Changes(whole, assigned, removed);
    }
    for (Machine m : machines.values()) {
      if (mayTell(m, oneShard) && (whole || m.version > known)) {
        long ageMs = context.now().since(m.since);
        Epoch term = oneShard ? Epoch.NONE : m.term;
        assigned.add(
            new MachineAssignment(m.info, m.shard, ageMs, term, m.handoverRequested, m.move));
      }
    }
    if (!whole) {
      for (Removal r : removals) {
        Machine again = machines.get(r.name);
        if (r.version > known && (again == null || !mayTell(again, oneShard))) {
          removed.add(r.name);
        }
      }
    }
    return new Changes(whole, assigned, removed);
  }

  /**
   * Whether owners may be told of an assignment. With several shards only once it is written down:
   * the next leader would otherwise not know of it and might assign the machine to another shard
   * while it holds tasks. With one shard there is no other. And nobody is told of a machine that is
   * passing on: a new owner of the shard that has handed it back would take it for its own.
   */
  private static boolean mayTell(Machine machine, boolean oneShard) {
    return (machine.recorded || oneShard) && !machine.inTransfer;
  }

  // ---- reading ---------------------------------------------------------------------------------

  /** Reads all assignments anew; {@code then} is told whether that succeeded. */
  void load(Consumer<Boolean> then) {
    machines.clear();
    revisions.clear();
    readPages(
        "",
        new ArrayList<>(),
        entries -> {
          if (entries != null) {
            entries.forEach(this::take);
          }
          then.accept(entries != null);
        });
  }

  /** Reads all keys, page by page; {@code then} takes null if one page could not be read. */
  private void readPages(
      String after, List<StoreMessages.Entry> read, Consumer<List<StoreMessages.Entry>> then) {
    context.state(
        "GET",
        StoreMessages.list(PREFIX, after, PAGE),
        null,
        CALL_MS,
        (status, body) -> {
          if (status != 200) {
            then.accept(null);
            return;
          }
          List<StoreMessages.Entry> page = StoreMessages.entries(body);
          read.addAll(page);
          if (StoreMessages.more(body) && !page.isEmpty()) {
            readPages(page.get(page.size() - 1).key(), read, then);
          } else {
            then.accept(read);
          }
        });
  }

  private void take(StoreMessages.Entry entry) {
    revisions.put(entry.key(), entry.revision());
    for (JsonNode one : entry.value().path(MACHINES)) {
      Machine machine = read(one);
      if (machine == null) {
        // Met again, it is assigned anew.
        context.unreadable(entry.key());
      } else {
        machines.put(machine.info.name(), machine);
      }
    }
  }

  /** Null if the value is no machine's. */
  private Machine read(JsonNode n) {
    String name = Json.text(n.path(0));
    long shard = Json.count(n.path(4));
    long term = Json.count(n.path(5));
    if (name.isEmpty() || shard < 0 || shard >= context.tuning.shards() || term < 0) {
      return null;
    }
    Machine machine = new Machine();
    machine.info =
        new MachineInfo(
            new MachineName(name),
            Json.text(n.path(1)),
            Json.text(n.path(2)),
            n.path(3).asBoolean());
    machine.shard = new ShardId((int) shard);
    machine.term = new Epoch(term);
    machine.since = context.now();
    machine.recorded = true;
    return machine;
  }

  /** What was read is in force under a term. */
  void began(Revision term) {
    unsaved.clear();
    saving = false;
    // Above all that was told in this term, should this be a second look in it: else a controller
    // that lags could take later changes for those it knows.
    version = Math.max(version + 1, term.value() << 20);
    removals.clear();
    removalsFrom = version;
  }

  // ---- writing ---------------------------------------------------------------------------------

  private static int bucket(MachineName name) {
    return Math.floorMod(name.value().hashCode(), BUCKETS);
  }

  /** The values of a bucket by key, and about how many bytes they have together. */
  private record BucketValues(Map<String, ArrayNode> byKey, int bytes) {}

  /**
   * What stands in a bucket, in as many values as the limit on one asks for. One that was needed
   * before is written empty: every version reads all that is there.
   */
  private BucketValues values(int bucket, List<Machine> inBucket) {
    Map<String, ArrayNode> values = new TreeMap<>();
    int allBytes = 0;
    double max = context.config.state().valueKb() * 1024 * VALUE_FILL;
    String key = PREFIX + bucket;
    ArrayNode value = Json.array();
    values.put(key, value);
    int bytes = VALUE_OVERHEAD_BYTES;
    for (Machine m : inBucket) {
      ArrayNode one = write(m);
      int more = Json.bytes(one).length + 1;
      if (bytes + more > max && !value.isEmpty()) {
        value = Json.array();
        values.put(key + "." + values.size(), value);
        allBytes += bytes;
        bytes = VALUE_OVERHEAD_BYTES;
      }
      value.add(one);
      bytes += more;
    }
    for (String known : revisions.keySet()) {
      if (known.startsWith(key + ".") && !values.containsKey(known)) {
        values.put(known, Json.array());
      }
    }
    return new BucketValues(values, allBytes + bytes);
  }

  /** A machine's next shard, and the term under which it is assigned there. */
  record NextAssignment(ShardId shard, Epoch term) {}

  /**
   * New assignments that are written in a transaction of somebody else's. Until that is over no
   * other assignment is written.
   */
  final class Transfer {
    private final Map<MachineName, NextAssignment> moved = new TreeMap<>();
    private final Map<String, ArrayNode> values = new TreeMap<>();
    private final Map<Integer, List<Machine>> buckets = new TreeMap<>();

    Set<MachineName> machines() {
      return moved.keySet();
    }

    int operations() {
      return values.size();
    }

    void addTo(StoreMessages.Transaction transaction) {
      values.forEach((key, value) -> guardedWrite(transaction, key, value));
    }

    void committed(Revision at) {
      saving = false;
      values.keySet().forEach(key -> revisions.put(key, at));
      buckets.values().forEach(inBucket -> inBucket.forEach(MachineDirectory.this::recorded));
      moved.forEach(
          (name, next) -> {
            Machine machine = machines.get(name);
            if (machine != null) {
              reassign(machine, next);
            }
          });
    }

    /**
     * Not carried out, and never will be.
     *
     * @param conflict whether something else stands there than was written last
     */
    void refused(boolean conflict) {
      saving = false;
      unsaved.addAll(buckets.keySet());
      for (MachineName name : moved.keySet()) {
        Machine machine = machines.get(name);
        if (machine != null) {
          machine.inTransfer = false;
          machine.version = ++version;
        }
      }
      if (conflict) {
        readRevisions();
      }
    }
  }

  /**
   * Prepares new assignments, as many as fit beside {@code otherOperations} and {@code otherBytes};
   * null if none can be written now.
   */
  Transfer prepare(
      Map<MachineName, NextAssignment> assignments, int otherOperations, int otherBytes) {
    if (saving) {
      return null;
    }
    Transfer transfer = new Transfer();
    int bytes = otherBytes;
    for (Map.Entry<MachineName, NextAssignment> e : assignments.entrySet()) {
      if (!machines.containsKey(e.getKey())) {
        continue;
      }
      int bucket = bucket(e.getKey());
      Map<MachineName, NextAssignment> moved = new TreeMap<>(transfer.moved);
      moved.put(e.getKey(), e.getValue());
      List<Machine> inBucket = machinesIn(bucket);
      BucketValues next = values(bucket, inBucket.stream().map(m -> as(m, moved)).toList());
      boolean another = !transfer.buckets.containsKey(bucket);
      int operations = transfer.values.size() + (another ? next.byKey.size() : 0);
      int more = another ? next.bytes : 0;
      boolean full =
          operations + otherOperations > context.config.state().txnOps()
              || bytes + more > StoreMessages.TXN_FILL_BYTES;
      if (full) {
        continue;
      }
      bytes += more;
      transfer.moved.put(e.getKey(), e.getValue());
      transfer.buckets.put(bucket, inBucket);
      transfer.values.putAll(next.byKey);
    }
    if (transfer.moved.isEmpty()) {
      return null;
    }
    saving = true;
    unsaved.removeAll(transfer.buckets.keySet());
    for (MachineName name : transfer.moved.keySet()) {
      machines.get(name).inTransfer = true;
      tellRemoved(name);
    }
    return transfer;
  }

  private List<Machine> machinesIn(int bucket) {
    return machines.values().stream().filter(m -> bucket(m.info.name()) == bucket).toList();
  }

  private static Machine as(Machine machine, Map<MachineName, NextAssignment> moved) {
    NextAssignment next = moved.get(machine.info.name());
    if (next == null) {
      return machine;
    }
    Machine other = new Machine();
    other.info = machine.info;
    other.shard = next.shard;
    other.term = next.term;
    return other;
  }

  private void guardedWrite(
      StoreMessages.Transaction transaction, String key, ArrayNode machinesOfKey) {
    transaction
        .guard(key, revisions.getOrDefault(key, Revision.ABSENT))
        .write(key, Json.object().set(MACHINES, machinesOfKey));
  }

  private static ArrayNode write(Machine m) {
    return Json.array()
        .add(m.info.name().value())
        .add(m.info.type())
        .add(m.info.zone())
        .add(m.info.spot())
        .add(m.shard.value())
        .add(m.term.value());
  }

  /** Buckets that are written in one transaction, and their values. */
  private record Batch(Map<Integer, List<Machine>> buckets, Map<String, ArrayNode> values) {}

  /** Writes what is not yet written, as the budget allows. */
  void save() {
    MonotonicTime now = context.now();
    if (saving || unsaved.isEmpty() || now.before(saveAt)) {
      return;
    }
    Batch batch = nextBatch();
    if (!context.writes.has(batch.values.size(), now)) {
      return;
    }
    context.writes.take(batch.values.size(), now);
    saving = true;
    saveAt = now.plus(SAVE_PAUSE_MS);
    unsaved.removeAll(batch.buckets.keySet());
    Revision term = loadedTerm.get();
    StoreMessages.Transaction transaction =
        new StoreMessages.Transaction().guard(election.key(), term);
    batch.values.forEach((key, machinesOfKey) -> guardedWrite(transaction, key, machinesOfKey));
    context.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        CALL_MS,
        (status, body) -> {
          saving = false;
          if (loadedTerm.get().equals(term)) {
            saved(batch, status, body);
          }
        });
  }

  private Batch nextBatch() {
    Map<Integer, List<Machine>> byBucket = new TreeMap<>();
    unsaved.forEach(bucket -> byBucket.put(bucket, new ArrayList<>()));
    for (Machine m : machines.values()) {
      List<Machine> inBucket = byBucket.get(bucket(m.info.name()));
      if (inBucket != null) {
        inBucket.add(m);
      }
    }
    int most =
        (int) Math.max(1, Math.min(context.config.state().txnOps(), context.writes.rate() / 2));
    Batch batch = new Batch(new TreeMap<>(), new TreeMap<>());
    int bytes = 0;
    for (Map.Entry<Integer, List<Machine>> e : byBucket.entrySet()) {
      BucketValues values = values(e.getKey(), e.getValue());
      boolean full =
          batch.values.size() + values.byKey.size() > most
              || bytes + values.bytes > StoreMessages.TXN_FILL_BYTES;
      if (!batch.buckets.isEmpty() && full) {
        break;
      }
      batch.buckets.put(e.getKey(), e.getValue());
      batch.values.putAll(values.byKey);
      bytes += values.bytes;
    }
    return batch;
  }

  private void saved(Batch batch, int status, JsonNode body) {
    if (status == 200) {
      Revision revision = new Revision(StoreMessages.revision(body));
      batch.values.keySet().forEach(key -> revisions.put(key, revision));
      batch.buckets.values().forEach(inBucket -> inBucket.forEach(this::recorded));
      return;
    }
    unsaved.addAll(batch.buckets.keySet());
    saveAt = context.now().plus(SAVE_PAUSE_MS);
    if (status == 409) {
      // Something else is there than we wrote last: a write of ours that came late.
      readRevisions();
    }
  }

  private void recorded(Machine machine) {
    if (!machine.recorded) {
      machine.recorded = true;
      machine.version = ++version;
    }
  }

  private void readRevisions() {
    Revision term = loadedTerm.get();
    saving = true;
    readPages(
        "",
        new ArrayList<>(),
        entries -> {
          if (!loadedTerm.get().equals(term)) {
            return;
          }
          saving = false;
          if (entries != null) {
            revisions.clear();
            entries.forEach(e -> revisions.put(e.key(), e.revision()));
          }
          saveAt = context.now().plus(SAVE_PAUSE_MS);
        });
  }
}
