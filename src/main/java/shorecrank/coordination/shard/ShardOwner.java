package shorecrank.coordination.shard;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.scheduling.Autoscaler;
import shorecrank.coordination.scheduling.BinPacking;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.scheduling.FleetCapacity;
import shorecrank.coordination.scheduling.Preemption;
import shorecrank.coordination.scheduling.SchedulingQueue;
import shorecrank.coordination.scheduling.ShardView;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages.MachineHandover;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.PeerMessages.ShardReport;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.protocol.WorkerMessages;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.Reap;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.Stop;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerCommand;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rollout.Feature;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;
import shorecrank.storage.RateLimiter;

/** The owner of one part: its jobs, the machines lent to it, and every write to its records. */
public final class ShardOwner implements ShardView {
  private static final int CALL_MS = 2000;
  private static final int MAX_IN_FLIGHT = 3;

  /** What a live range takes of a packed record, at the most. */
  private static final int RANGE_BYTES = 12;

  private static final int WATCH_PAUSE_MS = 250;

  /** A record larger than the state service takes is tried again after so long. */
  private static final int TOO_LARGE_PAUSE_MS = 2000;

  /** A watch is answered after so long at the latest: so fresh is what it proves at least. */
  private static final int WATCH_HOLD_MS = 2000;

  /** With less time left than this a job does not wait for a machine that holds its image. */
  private static final double URGENT_S = 3;

  /** So many jobs after the urgent ones may go before others where their image is. */
  private static final int NEAR = 8;

  /** How often all machines and jobs are looked at; the rounds between look at what changed. */
  private static final int LOOK_MS = 1000;

  /** A machine that has been empty for so long is one that the shard can spare. */
  private static final int SPARE_MS = 5000;

  /** After a leader's grant has ended: until another leads, has read its keys and is heard. */
  private static final int ELECTION_MS = 4000;

  private enum Stage {
    LOADING,
    READY
  }

  private final StepContext context;
  final ShardId shard;
  private final Epoch firstEpoch;
  private Epoch epoch;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private boolean relinquished;
  private Epoch fenced = Epoch.NONE;
  private boolean reload;

  private Stage stage = Stage.LOADING;
  private boolean loadBusy;
  private MonotonicTime loadRetryAt = new MonotonicTime(0);
  private long loadRound;
  private long watchFrom;
  private boolean watching;

  /** Up to when the state service has shown all changes of records, cancellations among them. */
  private MonotonicTime storeAsOf = MonotonicTime.NEVER;

  private final CancellationLog cancellations;
  private final FeatureGate gate;
  private MonotonicTime watchRetryAt = new MonotonicTime(0);

  public final Map<JobId, Job> jobs = new TreeMap<>();
  private final Set<JobId> relinquishedJobs = new HashSet<>();

  /** Which machines our records may name; null where there is only one shard. */
  private final MachineReferences references;

  private final MachineRegistry machineRegistry;

  /** Finds out what became of writes that were refused or got no answer. */
  private final WriteOutcomeResolver settlement;

  private final Preemption preemption;
  private final DirectCommandSender directStarts;

  /** Says what the shard needs; null where shares are not enabled. */
  private final ShardDemandReporter demands;

  public final Map<MachineName, Machine> hosts;

  /** Jobs with something to write. */
  private final Set<Job> dirty = new ObjectLinkedOpenHashSet<>();

  private MonotonicTime lookedAt = MonotonicTime.NEVER;
  private boolean missesManyWorkers;
  private final TeamQuotas quotas;
  private Map<String, MachineType> catalog = Map.of();

  private int inFlight;

  private MonotonicTime writeRetryAt = MonotonicTime.NEVER;
  private JobId cursor;
  public final WorkerLiveness liveness;
  public final Autoscaler autoscaler;
  private final SchedulingQueue queue;
  private final DependencyGraph dependencies;
  private boolean closed;

  private final StatusQueries statusQueries;
  private final Set<Machine> deferredAnswer = new LinkedHashSet<>();
  private boolean kicked;
  private MonotonicTime readyAt = MonotonicTime.NEVER;

  public ShardOwner(
      StepContext context,
      CancellationLog cancellations,
      FeatureGate gate,
      ShardId shard,
      Epoch epoch,
      MonotonicTime grantedAt,
      boolean shares) {
    this.context = context;
    this.cancellations = cancellations;
    this.gate = gate;
    this.shard = shard;
    this.epoch = epoch;
    this.firstEpoch = epoch;
    boolean oneShard = context.tuning.shards() == 1;
    this.references = oneShard ? null : new MachineReferences();
    ForeignTasks foreign = oneShard ? null : new ForeignTasks(context, shard);
    this.machineRegistry =
        new MachineRegistry(context, shard, references, foreign, new TasksOfMachines());
    this.hosts = machineRegistry.machines();
    this.quotas = new TeamQuotas(context.config.teams(), hosts.values());
    this.demands = shares ? new ShardDemandReporter(context, this) : null;
    this.liveness = new WorkerLiveness(context, hosts.values(), grantedAt);
    this.autoscaler = new Autoscaler(context, this);
    this.dependencies = new DependencyGraph(context, jobs, cancellations, this::cancelWithOthers);
    this.queue = new SchedulingQueue(context, dependencies);
    this.settlement = new WriteOutcomeResolver(context, references, new JobsOfRecords());
    this.preemption = new Preemption(context, this, queue);
    this.directStarts = new DirectCommandSender(context, this);
    this.statusQueries = new StatusQueries(context, jobs, dependencies);
    context.info("part %s: taken over at epoch %s", shard, epoch);
    context.count("part.takeover");
  }

  public Epoch epoch() {
    return epoch;
  }

  @Override
  public Map<String, MachineType> catalog() {
    return catalog;
  }

  public void catalog(Map<String, MachineType> c) {
    catalog = c;
    machineRegistry.catalog(c);
  }

  /** The leader's lease: no other controller owns the part before it ends, by our own clock. */
  public void lease(Epoch e, MonotonicTime until) {
    if (e.above(epoch)) {
      context.info("part %s: raised from epoch %s to %s", shard, epoch, e);
      epoch = e;
      fenced = Epoch.NONE;
      // What was given up may be ours again under the higher epoch.
      reload |= !relinquishedJobs.isEmpty();
    }
    if (validUntil.before(until)) {
      validUntil = until;
    }
    relinquished = false;
  }

  @Override
  public boolean valid() {
    return validAt(context.now());
  }

  public boolean validAt(MonotonicTime at) {
    return at.before(validUntil);
  }

  /** Since when the picture is whole. */
  @Override
  public MonotonicTime readyAt() {
    return readyAt;
  }

  @Override
  public boolean ready() {
    return stage == Stage.READY;
  }

  /**
   * The leader has not renewed the lease. From now on nothing is commanded or written, as after a
   * lapse; but until a successor is named, which an outage of the state service may delay, workers'
   * leases are renewed like in the grace, whose length counts from here.
   *
   * @return whether this is news
   */
  public boolean relinquish(String why) {
    if (relinquished) {
      return false;
    }
    relinquished = true;
    if (valid()) {
      validUntil = context.now();
    }
    context.info("part %s: epoch %s no longer commanded: %s", shard, epoch, why);
    context.count("part.relinquished");
    return true;
  }

  public boolean relinquished() {
    return relinquished;
  }

  /**
   * After the lease a worker's own lease may still be renewed, without commands, so that running
   * work outlives an outage of the state service. Bounded: a new owner counts on silence after it.
   */
  public boolean inGrace(boolean alone) {
    long over = context.now().since(validUntil);
    if (over < 0 || over >= context.tuning.graceMs()) {
      return false;
    }
    if (context.stateOk()) {
      // The store is there, so a leader soon will be: as long as an election and a heartbeat take,
      // counted from the end of an outage.
      long there = Math.min(over, context.now().since(context.stateOkSince()));
      return there < context.tuning.leaderTtlMs() + ELECTION_MS;
    }
    return !alone || missesManyWorkers || over < context.tuning.leaseMs() * 2L;
  }

  @Override
  public Map<MachineName, Machine> machines() {
    return hosts;
  }

  @Override
  public Map<JobId, Job> jobs() {
    return jobs;
  }

  @Override
  public WorkerLiveness liveness() {
    return liveness;
  }

  /** Whether this very object is the shard's job of that id. */
  boolean owns(Job job) {
    return jobs.get(job.id()) == job;
  }

  /** Up to when the state service has shown this owner all cancellations. */
  public MonotonicTime storeAsOf() {
    return storeAsOf;
  }

  /**
   * Whether this owner knows of all cancellations that must end before the lease it would renew
   * does. Without that knowledge the lease has to take the tasks, also while the part is ours.
   */
  public boolean informed() {
    return context.now().since(cancellations.horizon(storeAsOf)) <= context.evidenceMs();
  }

  private boolean cancelled(JobId id) {
    Job j = jobs.get(id);
    return (j != null && j.cancelled) || cancellations.known(id);
  }

  /**
   * A user has been told that the job is cancelled. The mark is committed and final, so its tasks
   * may be stopped by whoever the workers still listen to, also in the grace.
   */
  public void learnCancelled(JobId id) {
    Job j = jobs.get(id);
    if (j == null) {
      dependencies.cancelled(id);
    }
    if (j == null || j.cancelled) {
      return;
    }
    abort(j);
    if (valid() && !j.inFlight) {
      settlement.reread(j);
    }
  }

  /** A job that it needs is cancelled, so it is too; none of its tasks has ever been placed. */
  private void cancelWithOthers(Job j) {
    abort(j);
    j.touch(WriteUrgency.NOW, context.now());
  }

  public void end(String why) {
    closed = true;
    answerDeferred(true);
    statusQueries.close();
    context.info("part %s: epoch %s given up: %s", shard, epoch, why);
    context.count("part.given_up");
  }

  // ---- loading -------------------------------------------------------------------------------

  public void tick(Input.RoundBudget budget) {
    if (closed) {
      return;
    }
    if (reload && inFlight == 0) {
      reload = false;
      startOver();
    }
    if (stage == Stage.LOADING) {
      if (!loadBusy && !context.now().before(loadRetryAt)) {
        load();
      }
    } else {
      // An answer holds all changes since the last, whatever their number: after a cut, those of
      // the owner that has come in between, megabytes of them, which nobody here needs.
      if (!watching && valid() && !context.now().before(watchRetryAt)) {
        watch();
      }
      if (context.now().since(lookedAt) >= LOOK_MS) {
        lookedAt = context.now();
        context.count("round.looks", hosts.size());
        machineRegistry.expireLeases(liveness);
        if (references != null) {
          machineRegistry.stopSavingTasks();
        }
        UtilizationGauges.tell(context, hosts.values(), jobs.values(), liveness);
        missesManyWorkers = liveness.missesManyWorkers();
        // Whatever became due without being touched.
        dirty.addAll(jobs.values());
      }
      if (valid()) {
        dependencies.tick();
        kicked = false;
        place(budget);
        flush();
      }
    }
    answerDeferred(false);
    statusQueries.answer();
  }

  private void startOver() {
    for (Job j : new ArrayList<>(jobs.values())) {
      if (j.cancelled) {
        cancellations.learn(j.id());
      }
      forget(j);
    }
    relinquishedJobs.clear();
    dependencies.clear();
    for (Machine h : hosts.values()) {
      supersedeDeferredAnswer(h);
      h.session().forgetReconciliation();
    }
    if (references != null) {
      references.clear();
    }
    stage = Stage.LOADING;
    loadBusy = false;
    loadRound++;
  }

  public void load() {
    loadBusy = true;
    watchFrom = -1;
    loadPage("", ++loadRound, context.now());
  }

  private void loadPage(String after, long round, MonotonicTime began) {
    context.state(
        "GET",
        StoreMessages.list(JobRecord.LIVE, after, 200),
        null,
        4000,
        (status, body) -> {
          if (round != loadRound || closed) {
            return;
          }
          if (status != 200) {
            loadBusy = false;
            loadRetryAt = context.now().plus(200 + context.random().nextInt(300));
            startOver();
            return;
          }
          if (watchFrom < 0) {
            watchFrom = StoreMessages.revision(body);
          }
          String last = "";
          for (StoreMessages.Entry e : StoreMessages.entries(body)) {
            last = e.key();
            JobRecord r = JobRecord.read(e.value());
            if (r == null) {
              context.unreadable(e.key());
            } else if (ShardId.of(r.spec().team(), context.tuning.shards()).equals(shard)) {
              Job j = add(r, e.revision());
              boolean countsNow = references != null || quotas.isLimited(r.spec().team());
              if (countsNow && !j.claimed) {
                // A write that the last owner sent in time may still place tasks of it: they would
                // count for its team's limit, and hold their machine in this shard.
                j.claimFirst = true;
                j.touch(WriteUrgency.NOW, context.now());
              }
            }
          }
          if (StoreMessages.more(body) && !last.isEmpty()) {
            loadPage(last, round, began);
            return;
          }
          loadBusy = false;
          shownUpTo(began);
          stage = Stage.READY;
          readyAt = context.now();
          context.info(
              "part %s: %d jobs rebuilt at epoch %s, revision %d",
              shard, jobs.size(), epoch, watchFrom);
        });
  }

  private void shownUpTo(MonotonicTime sent) {
    if (storeAsOf.before(sent)) {
      storeAsOf = sent;
    }
  }

  private Job add(JobRecord r, Revision revision) {
    if (r.cancelled()) {
      cancellations.learn(r.spec().id());
    }
    Job j = new Job(r, revision, context.nextLife(), dirty);
    jobs.put(j.id(), j);
    j.claimed = false;
    if (references != null) {
      references.read(j.id(), revision, MachineReferences.machinesOf(r), stage == Stage.LOADING);
    }
    if (r.epoch().value() > 0) {
      if (r.epoch().above(epoch)
          || (r.epoch().equals(epoch) && !r.writer().equals(context.writer))) {
        relinquishJob(j, r);
        return j;
      }
      // The fence goes up before anything is made of the record.
      j.touch(WriteUrgency.NOW, context.now());
    }
    adoptLive(j, r);
    if (j.cancelled) {
      dependencies.cancelled(j.id());
      j.touch(WriteUrgency.NOW, context.now());
    } else {
      dependencies.add(j);
    }
    return j;
  }

  private void adoptLive(Job j, JobRecord r) {
    for (AttemptRange l : r.live()) {
      Machine h = machineRegistry.machine(l.host());
      for (int i = l.first(); i < l.first() + l.count(); i++) {
        if (!j.done.get(i) && !j.live.containsKey(i)) {
          attach(new TaskAttempt(j, i, h, l.incarnation(), l.attempt(), 0, context.now()));
        }
      }
    }
  }

  @Override
  public void attach(TaskAttempt t) {
    t.job().add(t);
    quotas.allocate(t.job().spec);
  }

  private void detach(TaskAttempt t) {
    if (t.job().live.get(t.index()) != t) {
      return;
    }
    t.job().remove(t);
    quotas.release(t.job().spec);
  }

  private void forget(Job j) {
    for (TaskAttempt t : new ArrayList<>(j.live.values())) {
      detach(t);
    }
    jobs.remove(j.id());
    queue.forget(j);
    dependencies.forget(j);
  }

  private void watch() {
    watching = true;
    long round = loadRound;
    MonotonicTime sent = context.now();
    context.state(
        "GET",
        StoreMessages.watch(JobRecord.LIVE, watchFrom, WATCH_HOLD_MS),
        null,
        WATCH_HOLD_MS + 3000,
        (status, body) -> {
          watching = false;
          if (closed || round != loadRound) {
            return;
          }
          if (status == 410) {
            startOver();
            return;
          }
          if (status != 200) {
            watchRetryAt = context.now().plus(200 + context.random().nextInt(200));
            return;
          }
          for (StoreMessages.Change c : StoreMessages.changes(body)) {
            changed(new JobId(c.key().substring(JobRecord.LIVE.length())), c);
          }
          watchFrom = Math.max(watchFrom, StoreMessages.revision(body));
          shownUpTo(sent);
          // Each opened watch is a request: a few a second carry as many changes as there are.
          watchRetryAt = context.now().plus(WATCH_PAUSE_MS);
        });
  }

  /** A record has changed: a new job, a mark of a user, one of our own writes, or a stranger. */
  private void changed(JobId id, StoreMessages.Change c) {
    if (JobRecord.isMarked(c.value())) {
      cancellations.learn(id);
      dependencies.cancelled(id);
    } else if (c.value() == null) {
      dependencies.recordDeleted(id);
    }
    if (relinquishedJobs.contains(id)) {
      return;
    }
    Job j = jobs.get(id);
    if (j == null) {
      // Later changes of a job that is over may still come; only an acceptance begins one.
      JobRecord r = JobRecord.isUnclaimed(c.value()) ? JobRecord.read(c.value()) : null;
      if (r != null
          && r.spec().id().equals(id)
          && ShardId.of(r.spec().team(), context.tuning.shards()).equals(shard)) {
        add(r, c.revision());
      }
      return;
    }
    if (c.revision().after(j.seenRevision)) {
      j.seenRevision = c.revision();
    }
    if (JobRecord.isMarked(c.value()) && !j.cancelled) {
      // What the watch shows is committed; reading the record again may fail for long.
      abort(j);
    }
    settlement.lookAgain(j);
  }

  // ---- records -------------------------------------------------------------------------------

  /** A write of a job's record, as it was sent. */
  record Write(Job job, long seq, boolean last, JobStatus jobStatus) {}

  private void flush() {
    MonotonicTime now = context.now();
    if (now.before(writeRetryAt) || inFlight >= MAX_IN_FLIGHT) {
      return;
    }
    List<Job> due = new ArrayList<>();
    context.count("round.looks", dirty.size());
    for (var i = dirty.iterator(); i.hasNext(); ) {
      Job j = i.next();
      if (jobs.get(j.id()) != j || (j.dirty == WriteUrgency.NONE && !over(j))) {
        i.remove();
        continue;
      }
      if (j.inFlight || j.rereading || now.before(j.writeAfter)) {
        continue;
      }
      boolean last = over(j);
      if (j.dirty == WriteUrgency.NOW
          || last
          || (j.dirty == WriteUrgency.LATER
              && now.since(j.dirtySince) >= context.tuning.mergeMs())) {
        due.add(j);
      }
    }
    if (due.isEmpty()) {
      return;
    }
    due.sort(Comparator.comparingInt(this::rank).thenComparing(j -> j.dirtySince));
    int at = 0;
    while (at < due.size() && inFlight < MAX_IN_FLIGHT) {
      StoreMessages.Transaction transaction = new StoreMessages.Transaction();
      boolean dense = gate.permits(Feature.DENSE_RECORDS);
      if (dense) {
        gate.guard(transaction);
      }
      List<Write> batch = new ArrayList<>();
      int bytes = 0;
      while (at < due.size()) {
        Job j = due.get(at);
        int ops = ops(j);
        if (((j.alone || (!batch.isEmpty() && batch.get(0).job.alone)) && !batch.isEmpty())
            || transaction.ops() + ops > context.config.state().txnOps()
            || (bytes > 0
                && bytes + context.config.state().valueKb() * 1024 > StoreMessages.TXN_FILL_BYTES)
            || !budget(j).has(ops, now)) {
          break;
        }
        budget(j).take(ops, now);
        bytes += put(transaction, batch, j, dense && !j.compact);
        at++;
      }
      if (batch.isEmpty()) {
        return;
      }
      commit(transaction, batch);
    }
  }

  /** What a takeover has to claim comes before new placements, with all that the service takes. */
  private RateLimiter budget(Job j) {
    return j.claimed || j.epoch.value() == 0 ? context.writes : context.userWrites;
  }

  /** Final states and placements go first, then claims, then completions that waited. */
  private int rank(Job j) {
    if (over(j)) {
      return 0;
    }
    if (j.dirty == WriteUrgency.NOW) {
      return !j.claimed && j.live.isEmpty() ? 3 : queue.waitsForStart(j.spec) ? 1 : 2;
    }
    return 4;
  }

  private static boolean over(Job j) {
    return (j.claimed || j.epoch.value() == 0)
        && (j.complete() || j.cancelled)
        && j.live.isEmpty()
        && !j.hasUnrecordedTasks();
  }

  private int ops(Job j) {
    return over(j) ? 2 : 1;
  }

  /**
   * A record in the form in which it is written.
   *
   * @param boundBytes what must fit into a value: where the form depends on the feature level, the
   *     size of the earlier form that it is put back into when the level falls
   * @param machines those that it names, where that is kept track of
   */
  private record EncodedRecord(
      ObjectNode value,
      int bytes,
      int boundBytes,
      JobStatus jobStatus,
      Set<MachineName> machines) {}

  private EncodedRecord encode(Job j, boolean dense) {
    JobRecord record = j.record(epoch, context.writer);
    ObjectNode value;
    if (dense) {
      value = record.writeDense();
    } else {
      value = j.compact ? record.writeCompact() : record.write();
    }
    int bytes = Json.bytes(value).length;
    boolean bound = dense && record.isLarge();
    int boundBytes = bound ? Json.bytes(record.writeCompact()).length : bytes;
    Set<MachineName> machines =
        references == null ? Set.of() : MachineReferences.machinesOf(record);
    return new EncodedRecord(value, bytes, boundBytes, record.jobStatus(), machines);
  }

  private int put(StoreMessages.Transaction transaction, List<Write> batch, Job j, boolean dense) {
    String key = JobRecord.liveKey(j.id());
    transaction.guard(key, j.revision);
    j.inFlight = true;
    j.seq++;
    boolean last = over(j);
    JobStatus jobStatus;
    int bytes;
    Set<MachineName> machines = Set.of();
    if (last) {
      JobState phase = j.complete() && !j.cancelled ? JobState.DONE : JobState.CANCELLED;
      ObjectNode f = JobRecord.writeFinal(phase, j.doneCount());
      transaction.drop(key).write(JobRecord.finalKey(j.id()), f);
      bytes = 200;
      jobStatus = new JobStatus(phase, j.doneCount(), 0);
    } else {
      EncodedRecord record = encode(j, dense);
      double max = context.config.state().valueKb() * 1024;
      if (record.boundBytes() > max * 0.95) {
        shrink(j);
        record = encode(j, dense);
      }
      bytes = record.bytes();
      jobStatus = record.jobStatus();
      machines = record.machines();
      // A record without a live range always takes one: else its job would never run.
      int rangesLeft = (int) ((max * 0.9 - record.boundBytes()) / RANGE_BYTES);
      j.rangesLeft = Math.max(j.live.isEmpty() ? 1 : 0, rangesLeft);
      transaction.write(key, record.value());
    }
    if (references != null) {
      references.sent(j.id(), j.seq, j.revision, machines);
    }
    batch.add(new Write(j, j.seq, last, jobStatus));
    j.dirty = WriteUrgency.NONE;
    return bytes + 300;
  }

  /** What was not yet written is taken back: no command has been given for it. */
  private void shrink(Job j) {
    for (TaskAttempt t : new ArrayList<>(j.live.values())) {
      if (!t.isCommitted() && t.writeSequence() >= j.seq) {
        detach(t);
      }
    }
    j.rangesLeft = 0;
  }

  private void commit(StoreMessages.Transaction transaction, List<Write> batch) {
    inFlight++;
    context.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        CALL_MS,
        (status, body) -> {
          inFlight--;
          if (closed) {
            return;
          }
          MonotonicTime now = context.now();
          Set<String> failed = status == 409 ? StoreMessages.failed(body) : Set.of();
          if (failed.contains(RolloutMessages.KEY)) {
            gate.guardFailed();
          }
          for (Write w : batch) {
            Job j = w.job;
            j.inFlight = false;
            settlement.answered(w, status, body);
            if (jobs.get(j.id()) != j) {
              continue;
            }
            if (status == 200) {
              committed(w, new Revision(StoreMessages.revision(body)));
            } else if (failed.contains(JobRecord.liveKey(j.id()))) {
              j.touch(WriteUrgency.NOW, now);
              settlement.reread(j);
            } else {
              // Not applied for another's sake, refused for the load, or not known: the next write
              // behind the same guard settles it.
              j.touch(WriteUrgency.NOW, now);
            }
          }
          if (status == 400) {
            // One of them is larger than the service takes now. Alone, each shows which; that one
            // is written in its shortest form, and if that is too long, shrinks as its tasks end.
            context.info("transaction of %d refused as too large: %s", batch.size(), body);
            context.count("txn.too_large");
            for (Write w : batch) {
              w.job.alone = true;
              if (batch.size() == 1) {
                if (w.job.compact) {
                  w.job.writeAfter = now.plus(TOO_LARGE_PAUSE_MS);
                }
                w.job.compact = true;
                shrink(w.job);
              }
            }
          } else if (status != 200 && status != 409) {
            context.count("txn.unanswered");
            writeRetryAt = now.plus(80 + context.random().nextInt(200));
          }
          answerDeferred(false);
          if (status == 200) {
            directStarts.send(batch);
          }
        });
  }

  private void committed(Write w, Revision revision) {
    Job j = w.job;
    j.revision = revision;
    j.committedSeq = w.seq;
    j.epoch = epoch;
    j.writer = context.writer;
    j.jobStatus = w.jobStatus;
    j.claimed = true;
    j.alone = false;
    if (w.last) {
      statusQueries.ended(j.id(), w.jobStatus);
      forget(j);
      dependencies.ended(j.id(), w.jobStatus.phase());
      context.info("job %s %s at epoch %s", j.id(), j.cancelled ? "withdrawn" : "done", epoch);
      context.count(j.cancelled ? "job.withdrawn" : "job.done");
      return;
    }
    j.exits.values().removeIf(seq -> seq <= j.committedSeq);
    settlement.lookAgain(j);
  }

  /** What becomes of a job, by what its record says. */
  private final class JobsOfRecords implements WriteOutcomeResolver.Jobs {
    @Override
    public boolean isCurrent(Job j) {
      return !closed && jobs.get(j.id()) == j;
    }

    @Override
    public Epoch epoch() {
      return epoch;
    }

    @Override
    public void refused(Job j, JobRecord record) {
      relinquishJob(j, record);
    }

    @Override
    public void cancelled(Job j) {
      abort(j);
    }

    @Override
    public void ended(Job j, JobState phase) {
      forget(j);
      dependencies.ended(j.id(), phase);
    }

    @Override
    public void replaced(Job j, JobRecord record, Revision revision) {
      for (TaskAttempt t : new ArrayList<>(j.live.values())) {
        detach(t);
      }
      j.claimed = false;
      j.adoptHead(record, revision);
      adoptLive(j, record);
    }
  }

  private void abort(Job j) {
    j.cancelled = true;
    for (TaskAttempt t : new ArrayList<>(j.live.values())) {
      if (!t.isCommitted()) {
        detach(t);
      }
    }
    context.info("job %s: cancelled", j.id());
    dependencies.cancelled(j.id());
  }

  /** From the first refusal on nothing more is written or commanded for the job. */
  private void relinquishJob(Job j, JobRecord r) {
    forget(j);
    relinquishedJobs.add(j.id());
    if (references != null && r == null) {
      references.removed(j.id());
    } else if (references != null) {
      references.read(j.id(), Revision.ABSENT, Set.of(), true);
    }
    if (r == null) {
      context.info("job %s: part %s epoch %s: no record any more, given up", j.id(), shard, epoch);
    } else {
      context.info(
          "job %s: part %s: fenced at epoch %s by epoch %s of %s, given up",
          j.id(), shard, epoch, r.epoch(), r.writer());
      if (r.epoch().compareTo(fenced) > 0) {
        fenced = r.epoch();
      }
    }
    context.count("job.fenced");
  }

  // ---- machines ------------------------------------------------------------------------------

  /** What becomes of the tasks of a machine that goes. */
  private final class TasksOfMachines implements MachineRegistry.Tasks {
    @Override
    public void lost(TaskAttempt task) {
      lose(task);
    }

    @Override
    public void supersede(Machine machine) {
      supersedeDeferredAnswer(machine);
    }
  }

  public MachineRegistry machineRegistry() {
    return machineRegistry;
  }

  /** The attempt is surely off its machine, without a result. */
  private void lose(TaskAttempt t) {
    Job j = t.job();
    detach(t);
    j.touch(WriteUrgency.LATER, context.now());
  }

  /** Takes a worker's report in and answers it, now or after the next commit. */
  public void report(long reply, WorkerHeartbeat r, boolean commands) {
    MonotonicTime now = context.now();
    Machine h = machineRegistry.machine(r.host());
    machineRegistry.describe(h, new MachineInfo(r.host(), r.type(), r.zone(), r.spot()));
    WorkerSession session = h.session();
    if (session.isStale(r) || r.token().epoch().above(epoch)) {
      context.count("report.late");
      context.reply(reply, 503, Json.error("not entitled, or the report is late"));
      return;
    }
    session.setAddress(r.address());
    if (r.token().epoch().compareTo(MachineRegistry.required(h, firstEpoch)) < 0) {
      // The worker has not seen our epoch, or this is a copy of a report from before it did, which
      // may come a lease late. It gets the token; its next report shows it, and only that counts.
      context.count("report.unconfirmed");
      session.recordUnconfirmed(r);
      // Copy or not: a session of this number has begun, so those before it have ended.
      machineRegistry.loseOlder(h);
      context.reply(
          reply,
          200,
          WorkerMessages.answer(h.session().tokens().aboveDirectStarts(epoch), cancelledOn(h, r)));
      return;
    }
    boolean stayed = session.isConsecutive(r);
    supersedeDeferredAnswer(h);
    if (session.isNewIncarnation(r)) {
      h.forgetImages();
    }
    if (!session.isReported()) {
      h.setIdleSince(now);
    }
    session.recordConfirmed(r, now);
    if (stage != Stage.READY) {
      context.reply(
          reply,
          200,
          WorkerMessages.answer(h.session().tokens().aboveDirectStarts(epoch), cancelledOn(h, r)));
      return;
    }
    h.setPreemptionNoticed(r.preemptionNoticed());
    boolean freed = takeIn(h, r);
    hearing(h, stayed);
    session.recordReconciled(r);
    if (!h.isEmpty() || h.session().listedTasks() > 0) {
      h.setIdleSince(now);
    }
    if (!commands) {
      context.reply(
          reply,
          200,
          WorkerMessages.answer(h.session().tokens().aboveDirectStarts(epoch), cancelledOn(h, r)));
      return;
    }
    if ((freed || awaitsCommit(h)) && context.tuning.parkMs() > 0) {
      // What has just come free can be used again in this very answer, once that is written; and
      // what is being written for this machine need not wait for its next report.
      session.deferReply(reply, now.plus(context.tuning.parkMs()));
      deferredAnswer.add(h);
      kicked = true;
    } else {
      context.reply(
          reply,
          200,
          WorkerMessages.answer(h.session().tokens().aboveDirectStarts(epoch), orders(h, false)));
    }
  }

  /**
   * Every answer that renews a lease ends what is cancelled, whatever else it may not command: the
   * lease would keep it running. A start on its way straight to the machine may come before it.
   */
  private List<WorkerCommand> cancelledOn(Machine h, WorkerHeartbeat r) {
    List<WorkerCommand> stops = new ArrayList<>();
    Set<TaskAttemptId> listed = new HashSet<>();
    for (TaskStatus t : r.tasks()) {
      listed.add(t.run());
      if (t.state() != TaskState.EXITED && cancelled(t.run().job())) {
        stops.add(new Stop(t.run(), 0));
      }
    }
    stopUnlisted(h, listed, stops);
    return stops;
  }

  private void stopUnlisted(Machine h, Set<TaskAttemptId> listed, List<WorkerCommand> orders) {
    for (TaskAttempt l : h.attempts()) {
      if (l.job().cancelled
          && l.isCommitted()
          && l.incarnation().equals(h.session().incarnation())
          && !listed.contains(l.id())
          && (!h.session().isConfirmed() || h.session().tokens().mayDirectCommandStart(l.id()))) {
        orders.add(new Stop(l.id(), 0));
      }
    }
  }

  private static boolean awaitsCommit(Machine h) {
    for (TaskAttempt l : h.attempts()) {
      if (!l.isCommitted()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the machine gets our answers, as far as its reports show. A worker that gets a 200
   * stays here and takes the next number for its next report; one that does not asks other
   * controllers in between. And what it was told to start, it lists.
   */
  private void hearing(Machine h, boolean stayed) {
    boolean followed = stayed;
    for (TaskAttempt l : h.attempts()) {
      if (l.takeStartInLastAnswer()) {
        followed &= l.isSeen();
      }
    }
    switch (h.session().recordAnswerTaken(followed, context.now())) {
      case REGAINED -> context.info("machine %s: gets our answers again", h.name());
      case LOST -> {
        context.info("machine %s: reports, but does not get our answers", h.name());
        context.count("machine.deaf");
      }
      case UNCHANGED -> {}
    }
  }

  /** Answers what waited for a commit: because it has come, or because it takes too long. */
  private void answerDeferred(boolean all) {
    if (deferredAnswer.isEmpty()) {
      return;
    }
    for (Machine h : new ArrayList<>(deferredAnswer)) {
      boolean settled = settled(h);
      if (all || !context.now().before(h.session().deferredUntil()) || settled) {
        context.count(settled ? "report.parked.settled" : "report.parked.expired");
        deferredAnswer.remove(h);
        long reply = h.session().takeDeferredReply();
        context.reply(
            reply,
            200,
            WorkerMessages.answer(
                h.session().tokens().aboveDirectStarts(epoch),
                valid() && !closed
                    ? orders(h, false)
                    : cancelledOn(h, h.session().lastHeartbeat())));
      }
    }
  }

  /** Nothing about the machine waits for a write. */
  private boolean settled(Machine h) {
    if (kicked) {
      return false;
    }
    if (awaitsCommit(h)) {
      return false;
    }
    for (TaskStatus t : h.session().lastHeartbeat().tasks()) {
      Job j = t.state() == TaskState.EXITED ? jobs.get(t.run().job()) : null;
      if (j != null && j.inFlight && j.exits.containsKey(t.run())) {
        return false;
      }
    }
    return true;
  }

  private void supersedeDeferredAnswer(Machine h) {
    if (h.session().hasDeferredReply()) {
      deferredAnswer.remove(h);
      context.reply(
          h.session().refuseDeferredReply(), 503, Json.error("superseded by a later report"));
    }
  }

  /** What a report says goes into the picture; true if it frees anything. */
  private boolean takeIn(Machine h, WorkerHeartbeat r) {
    boolean freed = false;
    h.clearUnrecordedTasks();
    Set<TaskAttempt> unlisted = new LinkedHashSet<>(h.attempts());
    for (TaskStatus t : r.tasks()) {
      JobId id = t.run().job();
      Job j = jobs.get(id);
      TaskAttempt l = j == null ? null : j.live.get(t.run().index());
      if (l != null
          && l.machine() == h
          && l.number().equals(t.run().attempt())
          && l.incarnation().equals(r.incarnation())) {
        unlisted.remove(l);
        freed |= t.state() == TaskState.EXITED;
        running(h, l, t);
      } else if (t.state() != TaskState.EXITED && j != null && t.run().index() < j.spec.tasks()) {
        // An attempt that no record of ours names: nothing of that task starts elsewhere meanwhile.
        h.addUnrecordedTask(j, t.run().index());
      }
    }
    for (TaskAttempt l : unlisted) {
      if (l.incarnation().compareTo(r.incarnation()) < 0) {
        lose(l);
        freed = true;
      } else if (!l.isCommitted() || !l.job().claimed) {
        continue;
      } else if (l.isSeen()) {
        // It left the list without a reap of ours: only a new session does that.
        context.error("machine %s: %s vanished", h.name(), l.id());
        lose(l);
      } else if (h.session().isConfirmed()
          && !h.session().tokens().mayDirectCommandStart(l.id())
          && (l.job().cancelled
              || l.isRevoked()
              || h.isPreemptionNoticed()
              || h.isReleasing()
              || h.session().isUnresponsive())) {
        // The worker executes what an answer says or drops it whole, and this report is younger
        // than all earlier answers: what it does not list was never started and never will be.
        lose(l);
        freed = true;
      }
    }
    return freed;
  }

  /** What the worker is told, from its last report and what is committed by now. */
  List<WorkerCommand> orders(Machine h, boolean direct) {
    List<WorkerCommand> orders = new ArrayList<>();
    Set<TaskAttempt> listed = new HashSet<>();
    for (TaskStatus t : h.session().lastHeartbeat().tasks()) {
      JobId id = t.run().job();
      Job j = jobs.get(id);
      if (relinquishedJobs.contains(id) || (j != null && !j.claimed && j.epoch.value() > 0)) {
        // Not ours, or not yet: nothing is commanded for it, but that a cancelled one ends.
        if (t.state() != TaskState.EXITED && cancelled(id)) {
          orders.add(new Stop(t.run(), 0));
        }
        if (j != null && j.live.containsKey(t.run().index())) {
          listed.add(j.live.get(t.run().index()));
        }
        continue;
      }
      TaskAttempt l = j == null ? null : j.live.get(t.run().index());
      if (l != null && l.machine() == h && l.number().equals(t.run().attempt())) {
        listed.add(l);
        stop(h, l, t, orders);
      } else if (j == null
          && (t.state() == TaskState.EXITED || !cancelled(id))
          && !machineRegistry.mayClear(h, t.run())) {
        // Its own shard's owner may not have taken its result yet.
        context.count("foreign.kept");
      } else if (t.state() != TaskState.EXITED) {
        orders.add(new Stop(t.run(), 0));
        context.info("machine %s: unexpected %s stopped", h.name(), t.run());
      } else {
        Long recorded = j == null ? null : j.exits.get(t.run());
        if ((recorded == null || recorded <= j.committedSeq)
            && !direct
            && !h.session().tokens().mayDirectCommandStart(t.run())) {
          // Reaped only once no record names it and no start of it is under way: a repeated start
          // would run it anew.
          orders.add(new Reap(t.run()));
        }
      }
    }
    Set<TaskAttemptId> reported = new HashSet<>();
    h.session().lastHeartbeat().tasks().forEach(t -> reported.add(t.run()));
    stopUnlisted(h, reported, orders);
    for (TaskAttempt l : h.attempts()) {
      if (!l.isSeen()
          && !listed.contains(l)
          && l.isCommitted()
          && l.job().claimed
          && l.incarnation().equals(h.session().incarnation())
          && !l.job().cancelled
          && !l.isRevoked()
          && !h.isPreemptionNoticed()
          && !h.session().isUnresponsive()
          && !h.isReleasing()) {
        orders.add(new Start(l.id()));
        if (l.commandStart(direct)) {
          context.count("task.commanded");
          context.count("task.commanded.ms", context.now().since(l.placedAt()));
        }
      }
    }
    return orders;
  }

  private void stop(Machine h, TaskAttempt l, TaskStatus t, List<WorkerCommand> orders) {
    Job j = l.job();
    if (j.cancelled) {
      orders.add(new Stop(l.id(), 0));
    } else if (t.state() == TaskState.FLUSHING) {
      return;
    } else if (l.isRevoked() || h.isReleasing()) {
      orders.add(new Stop(l.id(), j.spec.saveS() + 1));
    } else if (h.isPreemptionNoticed() && j.spec.checkpointS() > 0) {
      orders.add(new Stop(l.id(), Math.max(j.spec.saveS(), h.session().lastHeartbeat().noticeS())));
    }
  }

  private void running(Machine h, TaskAttempt l, TaskStatus t) {
    MonotonicTime now = context.now();
    Job j = l.job();
    if (l.observe(t.state(), now)) {
      context.count("task.running");
      context.count("task.running.ms", now.since(l.placedAt()));
    }
    if (t.state() == TaskState.RUNNING) {
      h.imageInUse(j.spec);
    } else if (t.state() == TaskState.EXITED) {
      exited(h, l, t);
    }
  }

  private void exited(Machine h, TaskAttempt l, TaskStatus t) {
    MonotonicTime now = context.now();
    Job j = l.job();
    switch (t.why()) {
      case DONE -> {
        j.done.set(l.index());
        j.failedOn.clear();
        j.backoff = 0;
        h.health().taskSucceeded();
      }
      case HALTED -> {}
      case FULL -> h.health().pauseUntil(now.plus(2000));
      case BUSY -> h.health().pauseUntil(now.plus(1000));
      case ERROR, UNKNOWN -> failed(h, j, t.why());
    }
    detach(l);
    if (j.done.get(l.index())) {
      j.taken.set(l.index());
    }
    // The write in flight does not hold this exit; the one after it will.
    j.exits.put(t.run(), j.seq + 1);
    j.touch(WriteUrgency.LATER, now);
  }

  /** Tells faulty machines from faulty jobs: a job that fails on many machines is at fault. */
  private void failed(Machine h, Job j, ExitReason why) {
    MonotonicTime now = context.now();
    context.count("task.failed");
    j.failedOn.add(h.name());
    if (j.failedOn.size() > 2 || why == ExitReason.UNKNOWN) {
      j.backoff = Math.min(j.backoff + 1, 6);
      j.placeAfter = now.plus(1000L << j.backoff);
      context.info("job %s: fails on %d machines, held back", j.id(), j.failedOn.size());
      return;
    }
    j.placeAfter = now.plus(300);
    if (h.health().taskFailed(now)) {
      context.info("machine %s: fails what it starts, set aside", h.name());
      context.count("machine.quarantined");
    }
  }

  // ---- placing -------------------------------------------------------------------------------

  @Override
  public boolean usable(Machine h) {
    return !h.isDraining() && sound(h);
  }

  private boolean sound(Machine h) {
    MonotonicTime now = context.now();
    return h.assignment().isAssigned()
        && h.type() != null
        && liveness.fresh(h)
        && !h.assignment().isHandoverRequested()
        && !h.isPreemptionNoticed()
        && !h.session().isUnresponsive()
        && !h.isReleasing()
        && h.health().acceptsTasks(now);
  }

  private List<Job> waiting() {
    List<Job> l = new ArrayList<>();
    MonotonicTime now = context.now();
    for (Job j : jobs.values()) {
      if (j.queued() > 0
          && !j.inFlight
          && !j.rereading
          && j.rangesLeft > 0
          && j.placeAfter.before(now)
          && (j.claimed || j.epoch.value() == 0)) {
        l.add(j);
      }
    }
    return l;
  }

  private List<Job> sorted(List<Job> waiting) {
    if (waiting.size() < 2) {
      return waiting;
    }
    double cpus = 0;
    double soon = 0;
    double soonS = 0;
    double fetch = 0;
    for (Machine h : hosts.values()) {
      if (h.type() == null
          || !h.assignment().isAssigned()
          || h.isReleasing()
          || h.isPreemptionNoticed()) {
        continue;
      }
      if (h.session().isReported()) {
        cpus += h.type().cpus();
        fetch += h.type().cpus() * h.type().fetchGbPerS();
      } else {
        soon += h.type().cpus();
        double left = h.type().bootS() - context.now().since(h.assignment().since()) / 1000.0;
        soonS += h.type().cpus() * Math.max(1, left);
      }
    }
    double busy = 0;
    for (Job j : jobs.values()) {
      busy += j.live.size() * j.spec.cpus() * j.spec.estimateS() / 2;
    }
    queue.updateUrgency(jobs.values());
    return queue.sort(
        waiting,
        new FleetCapacity(fetch / Math.max(1, cpus), cpus, soon, soonS / Math.max(1, soon), busy));
  }

  private void place(Input.RoundBudget budget) {
    context.count("round.looks", jobs.size());
    List<Job> waiting = waiting();
    if (waiting.isEmpty()) {
      return;
    }
    List<Machine> room = new ArrayList<>();
    List<Machine> reserve = new ArrayList<>();
    context.count("round.looks", machineRegistry.withRoom().size());
    for (Machine h : machineRegistry.withRoom()) {
      if (sound(h)) {
        (h.isDraining() ? reserve : room).add(h);
      }
    }
    // In a full fleet nobody needs an order, unless there is one who makes room for himself.
    if (room.isEmpty() && reserve.isEmpty() && waiting.stream().noneMatch(preemption::mayPreempt)) {
      return;
    }
    waiting = sorted(waiting);
    // A round that ran out of time goes on where it stopped.
    int start = 0;
    boolean goesOn = false;
    if (cursor != null) {
      for (int i = 0; i < waiting.size(); i++) {
        if (waiting.get(i).id().equals(cursor)) {
          start = i;
          goesOn = true;
        }
      }
    }
    cursor = null;
    boolean allClaimed = true;
    for (Job j : jobs.values()) {
      allClaimed &= j.claimed || (j.epoch.value() == 0 && !j.claimFirst);
    }
    int urgent = 0;
    while (urgent < waiting.size() && waiting.get(urgent).slackS < URGENT_S) {
      urgent++;
    }
    if (!goesOn) {
      // The most urgent take what there is. Of those that follow, some find their image where there
      // is room: a fetch would keep that room idle for seconds.
      for (int i = 0; i < Math.min(waiting.size(), urgent + NEAR) && !budget.spent(); i++) {
        Job j = waiting.get(i);
        if (i < urgent) {
          placeIfSure(j, allClaimed, room);
          start = i + 1;
        } else {
          List<Machine> holders = new ArrayList<>();
          for (Machine h : room) {
            if (h.holdsOrFetchesImage(j.spec)) {
              holders.add(h);
            }
          }
          if (!holders.isEmpty()) {
            placeIfSure(j, allClaimed, holders);
            room.removeIf(h -> h.freeCpus() <= 1e-9);
          }
        }
      }
    }
    for (int i = start; i < waiting.size(); i++) {
      if (budget.spent()) {
        cursor = waiting.get(i).id();
        return;
      }
      placeIfSure(waiting.get(i), allClaimed, room);
    }
    takeBack(waiting, allClaimed, reserve);
  }

  /** What found no room takes machines back into use that were to run empty. */
  private void takeBack(List<Job> waiting, boolean allClaimed, List<Machine> reserve) {
    List<Machine> before = List.copyOf(reserve);
    int[] held = before.stream().mapToInt(h -> h.attempts().size()).toArray();
    for (Job j : waiting) {
      if (reserve.isEmpty()) {
        break;
      }
      if (j.queued() > 0) {
        placeIfSure(j, allClaimed, reserve);
      }
    }
    for (int i = 0; i < held.length; i++) {
      if (before.get(i).attempts().size() > held[i]) {
        before.get(i).cancelDrain();
        context.count("machine.taken_back");
      }
    }
  }

  private void placeIfSure(Job j, boolean allClaimed, List<Machine> room) {
    // Until every record is claimed, a late write of the last owner may add to the team's use.
    if (allClaimed || !quotas.isLimited(j.spec.team())) {
      place(j, room);
    }
  }

  @Override
  public Headroom headroom(String team) {
    return quotas.headroom(team);
  }

  private void place(Job j, List<Machine> room) {
    int wanted = quotas.headroom(j.spec.team()).queuedTasksThatFit(j);
    if (SchedulingQueue.isOverdue(j, context.wallMs())) {
      wanted = Math.min(wanted, 1 + j.spec.tasks() / SchedulingQueue.OVERDUE_FRACTION);
    }
    if (j.backoff > 0) {
      wanted = Math.min(wanted, 1);
    }
    Map<String, Integer> perZone = new HashMap<>();
    String zone = null;
    for (TaskAttempt t : j.live.values()) {
      String z = t.machine().info() == null ? "" : t.machine().info().zone();
      perZone.merge(z, 1, Integer::sum);
      zone = z;
    }
    if (!j.spec.oneZone()) {
      zone = null;
    }
    int index = 0;
    boolean placed = false;
    List<Machine> candidates = room;
    if (!j.failedOn.isEmpty()) {
      candidates = new ArrayList<>(room);
      candidates.removeIf(h -> j.failedOn.contains(h.name()));
      if (candidates.isEmpty()) {
        candidates = room;
      }
    }
    if (j.spec.spread()) {
      candidates = new ArrayList<>(candidates);
    }
    while (wanted > 0 && j.rangesLeft > 0 && !candidates.isEmpty()) {
      Machine h =
          BinPacking.choose(
              new BinPacking.Request(
                  j.spec,
                  wanted,
                  zone,
                  new BinPacking.Clock(context.now(), context.config.workers().reportS())),
              candidates,
              context.tuning.sampleSize(),
              context.random());
      if (h == null) {
        break;
      }
      int n = Math.min(wanted, h.fits(j.spec));
      if (j.spec.spread()) {
        int left = j.spec.zoneCap() - perZone.getOrDefault(h.info().zone(), 0);
        n = Math.min(n, left);
        if (n <= 0) {
          String z = h.info().zone();
          candidates.removeIf(x -> x.info().zone().equals(z));
          continue;
        }
      }
      AttemptNumber attempt = new AttemptNumber(j.attemptCount + 1);
      for (int k = 0; k < n; k++) {
        index = j.nextQueued(index);
        if (index < 0) {
          n = k;
          break;
        }
        attach(
            new TaskAttempt(
                j, index, h, h.session().incarnation(), attempt, j.seq + 1, context.now()));
      }
      if (n == 0) {
        break;
      }
      j.attemptCount++;
      j.rangesLeft--;
      placed = true;
      wanted -= n;
      perZone.merge(h.info().zone(), n, Integer::sum);
      if (j.spec.oneZone()) {
        zone = h.info().zone();
      }
      if (h.freeCpus() <= 1e-9) {
        room.remove(h);
        if (candidates != room) {
          candidates.remove(h);
        }
      }
    }
    if (wanted > 0 && !j.spec.spread() && j.backoff == 0 && preemption.mayPreempt(j)) {
      placed |= preemption.makeRoom(j, wanted, index, zone);
    }
    if (placed) {
      j.touch(WriteUrgency.NOW, context.now());
    }
  }

  // ---- for users -------------------------------------------------------------------------------

  /** Tells where a job stands, if this owner can. */
  public void ask(JobId id, StatusQueries.StatusCallback then) {
    statusQueries.ask(id, ready() && valid(), then);
  }

  // ---- for the leader ------------------------------------------------------------------------

  public ShardReport heartbeat() {
    List<MachineName> retire = new ArrayList<>();
    List<MachineName> spare = new ArrayList<>();
    List<MachineHandover> back = List.of();
    if (ready() && valid()) {
      retire.addAll(autoscaler.scaleIn());
      back = machineRegistry.handovers(liveness);
      for (Machine h : hosts.values()) {
        if (!h.assignment().isHandoverRequested()
            && (usable(h) || h.isDraining())
            && h.isEmpty()
            && context.now().since(h.idleSince()) > SPARE_MS) {
          spare.add(h.name());
        }
      }
    }
    boolean queued = !ready() || jobs.values().stream().anyMatch(j -> j.queued() > 0);
    return new ShardReport(
        shard,
        epoch,
        fenced,
        queued,
        liveness.hearing(),
        autoscaler.capacityRequests(),
        retire,
        spare,
        back,
        machineRegistry.misplaced(),
        references != null,
        demands == null ? null : demands.now());
  }
}
