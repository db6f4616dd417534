package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.Object2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.coordination.model.Job.TaskAttempt;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** A machine lent to a part, as the part's owner sees it. */
public final class Machine {
  public record UnrecordedTask(Job job, int index) {}

  public final MachineName name;
  public MachineInfo info;
  private MachineType type;
  public boolean assigned;

  /** It is to be emptied and handed over: nothing new is placed on it. */
  public boolean handoverRequested;

  /** The order under which it is to be handed over, or has come. */
  public MoveId move = MoveId.NONE;

  /** It has come from another shard, so it has run before it was assigned here. */
  public boolean hasRun;

  /** Assigned to another shard, whose owner may renew its worker's lease. */
  public boolean assignedElsewhere;

  /** Under an epoch below this its worker may have been another shard's. */
  public Epoch term = Epoch.NONE;

  public MonotonicTime assignedSince = MonotonicTime.NEVER;

  public Incarnation incarnation = new Incarnation(0);
  public long sequence = -1;
  public MonotonicTime lastHeard = MonotonicTime.NEVER;
  public MonotonicTime firstHeard = MonotonicTime.NEVER;

  /** What answers and commands to it carry; numbers under one epoch only rise. */
  private FencingToken token = FencingToken.NONE;

  /** The highest token it has shown: below that it takes no command any more. */
  private FencingToken shown = FencingToken.NONE;

  /** Where it takes commands outside the answers to its reports; empty if it has not said. */
  public String address = "";

  /**
   * Starts that went straight to it, and under which token. Until it shows a higher one, a copy or
   * a message held back may start them, once more or only then.
   */
  private final Map<TaskAttemptId, FencingToken> direct = new HashMap<>();

  /** Commands that went straight to it and are not answered, and those answered lately. */
  public int directOut;

  public int directAnswered;

  /** It has seen our epoch, so no earlier owner can renew its lease. */
  public boolean confirmed;

  /** What is on it is known: a report was taken in. */
  public boolean known;

  public Incarnation endedIncarnation = new Incarnation(-1);

  /** Its reports arrive, but it seems not to get our answers: nothing new is placed on it. */
  public boolean unresponsive;

  public MonotonicTime unresponsiveSince = MonotonicTime.NEVER;

  /** Reports in a row that show that the answer before them was not taken. */
  public int missedAnswers;

  /** The last report was answered with 200. */
  public boolean answered;

  public boolean preemptionNoticed;
  public boolean retiring;

  /** More than is needed: nothing new is placed on it, and it goes back once empty. */
  public boolean draining;

  public MonotonicTime quarantinedUntil = MonotonicTime.NEVER;
  public MonotonicTime noRoomUntil = MonotonicTime.NEVER;
  public int errors;
  public int quarantines;
  public MonotonicTime idleSince = MonotonicTime.NEVER;
  public int listedTasks;
  public WorkerHeartbeat report;

  /** The request whose answer waits for a commit; -1 if there is none. */
  public long deferredAnswer = -1;

  public MonotonicTime deferredUntil = MonotonicTime.NEVER;

  public final Set<TaskAttempt> live = new ObjectLinkedOpenHashSet<>();
  public final List<UnrecordedTask> unrecordedTasks = new ArrayList<>();

  /** Images it should hold, by size, the most lately used last. */
  private final Object2DoubleLinkedOpenHashMap<String> images =
      new Object2DoubleLinkedOpenHashMap<>();

  /** Tasks on it by their image: one of them fetches it for all. */
  private final Object2IntOpenHashMap<String> wanted = new Object2IntOpenHashMap<>();

  private double cpus;
  private double gpus;
  private double memoryGb;

  /** The part's machines with room; each keeps its own place there up to date. */
  private final Set<Machine> withRoom;

  public Machine(MachineName name, Set<Machine> withRoom) {
    this.name = name;
    this.withRoom = withRoom;
  }

  public MachineType type() {
    return type;
  }

  public void type(MachineType t) {
    type = t;
    index();
  }

  private void index() {
    if (freeCpus() > 1e-9) {
      withRoom.add(this);
    } else {
      withRoom.remove(this);
    }
  }

  /** The token to use at this epoch. */
  public FencingToken token(Epoch epoch) {
    FencingToken least = FencingToken.of(epoch);
    if (least.above(token)) {
      token = least;
    }
    return token;
  }

  /** For an answer: above that of all starts that went out directly, so that it ends them. */
  public FencingToken tokenAbove(Epoch epoch) {
    FencingToken t = token(epoch);
    if (!t.isLast() && direct.containsValue(t)) {
      token = t.next();
    }
    return token;
  }

  /** Takes in what its report shows. */
  public void shows(FencingToken t) {
    shown = t;
    direct.values().removeIf(t::above);
  }

  /** It has begun a new session and takes no command of an earlier one. */
  public void newSession() {
    direct.clear();
    images.clear();
  }

  /** Whether it takes commands directly: it is reached under our epoch, and a number is left. */
  public boolean takesDirect(Epoch epoch) {
    return !address.isEmpty()
        && confirmed
        && shown.epoch().equals(epoch)
        && deferredAnswer < 0
        && !token(epoch).isLast();
  }

  public void sentDirectly(TaskAttemptId r, FencingToken t) {
    direct.put(r, t);
  }

  /** Whether a command that went straight to it may yet be carried out. */
  public boolean awaitsDirect() {
    return directOut > 0 || !direct.isEmpty();
  }

  /** Whether a command under way may yet start it. */
  public boolean mayStart(TaskAttemptId r) {
    return direct.containsKey(r);
  }

  void add(TaskAttempt t) {
    if (live.add(t)) {
      wanted.addTo(t.job.spec.image(), 1);
      use(t.job.spec, 1);
    }
  }

  void remove(TaskAttempt t) {
    if (!live.remove(t)) {
      return;
    }
    if (wanted.addTo(t.job.spec.image(), -1) <= 1) {
      wanted.removeInt(t.job.spec.image());
    }
    if (!t.roomReassigned) {
      use(t.job.spec, -1);
    }
  }

  /** The task's room is given to another, which starts only after it has been stopped. */
  public void reassignRoom(TaskAttempt t) {
    if (!t.roomReassigned) {
      t.roomReassigned = true;
      use(t.job.spec, -1);
    }
  }

  public boolean fitsWith(JobSpec s, double moreCpus, double moreGpus, double moreMemoryGb) {
    return type != null
        && s.cpus() <= type.cpus() - cpus + moreCpus + 1e-9
        && s.gpus() <= type.gpus() - gpus + moreGpus + 1e-9
        && s.memoryGb() <= type.memoryGb() - memoryGb + moreMemoryGb + 1e-9;
  }

  /** A fetch of the image to a machine of this kind. */
  public double fetchAnewS(JobSpec s) {
    return s.imageGb() / Math.max(0.01, type.fetchGbPerS());
  }

  public double fetchSeconds(JobSpec s) {
    if (images.containsKey(s.image())) {
      return 0;
    }
    double all = fetchAnewS(s);
    return wanted.containsKey(s.image()) ? all / 2 : all;
  }

  /** Seconds until it can be told something: in the answer to its next report. */
  public double toldInS(MonotonicTime now, double reportS) {
    return deferredAnswer >= 0 ? 0 : Math.max(0, reportS - now.since(lastHeard) / 1000.0);
  }

  public boolean holdsOrFetches(JobSpec s) {
    return images.containsKey(s.image()) || wanted.containsKey(s.image());
  }

  public void addUnrecordedTask(Job j, int index) {
    unrecordedTasks.add(new UnrecordedTask(j, index));
    j.markUnrecorded(index);
    use(j.spec, 1);
  }

  public void clearUnrecordedTasks() {
    for (UnrecordedTask g : unrecordedTasks) {
      g.job.unmarkUnrecorded(g.index);
      use(g.job.spec, -1);
    }
    unrecordedTasks.clear();
  }

  private void use(JobSpec s, int sign) {
    cpus += sign * s.cpus();
    gpus += sign * s.gpus();
    memoryGb += sign * s.memoryGb();
    index();
  }

  /** A task with this image runs, so the machine holds it; others may have had to go for it. */
  public void holds(JobSpec s) {
    images.putAndMoveToLast(s.image(), s.imageGb());
    double sum = 0;
    for (double gb : images.values()) {
      sum += gb;
    }
    while (type != null && sum > type.cacheGb() && images.size() > 1) {
      sum -= images.removeFirstDouble();
    }
  }

  public boolean empty() {
    return live.isEmpty() && unrecordedTasks.isEmpty();
  }

  public double usedCpus() {
    return cpus;
  }

  /** The share of it that is taken, of what there is the least of. */
  public double usedShare() {
    double share = cpus / Math.max(1e-9, type.cpus());
    share = Math.max(share, memoryGb / Math.max(1e-9, type.memoryGb()));
    return type.gpus() > 0 ? Math.max(share, gpus / type.gpus()) : share;
  }

  public double freeCpus() {
    return type == null ? 0 : type.cpus() - cpus;
  }

  /** How many more tasks like this fit. */
  public int fits(JobSpec s) {
    if (type == null) {
      return 0;
    }
    double n = s.tasks();
    n = fit(n, s.cpus(), type.cpus() - cpus);
    n = fit(n, s.gpus(), type.gpus() - gpus);
    n = fit(n, s.memoryGb(), type.memoryGb() - memoryGb);
    return (int) Math.max(0, n);
  }

  private static double fit(double n, double each, double free) {
    return each <= 0 ? n : Math.min(n, Math.floor(free / each + 1e-9));
  }

  Offer offer() {
    return new Offer(info.type(), info.zone(), info.spot());
  }

  /** Type, zone and kind are such as the job allows. */
  public boolean allowed(JobSpec s) {
    return info != null && type != null && MachineConstraints.allows(s, offer(), type);
  }

  public boolean reported() {
    return firstHeard != MonotonicTime.NEVER;
  }
}
