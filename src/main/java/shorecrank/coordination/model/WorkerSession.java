package shorecrank.coordination.model;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** What the heartbeats of one worker prove: its incarnation, its liveness, and what it has seen. */
public final class WorkerSession {
  private static final long NO_REPLY = -1;

  /** A worker that missed so many answers in a row does not get them at all. */
  private static final int UNRESPONSIVE_AFTER = 2;

  /** A change of whether the worker gets the answers to its heartbeats. */
  public enum Responsiveness {
    UNCHANGED,
    LOST,
    REGAINED
  }

  private final CommandTokens tokens = new CommandTokens();
  private Incarnation incarnation = new Incarnation(0);

  /** The last incarnation whose tasks were given up as surely gone. */
  private Incarnation endedIncarnation = new Incarnation(-1);

  private long sequence = -1;
  private MonotonicTime firstHeard = MonotonicTime.NEVER;
  private MonotonicTime lastHeard = MonotonicTime.NEVER;

  /** Where it takes direct commands; empty if it has not said. */
  private String address = "";

  /** It has shown this owner's epoch, so no earlier owner can renew its lease. */
  private boolean confirmed;

  /** A heartbeat was reconciled with the records, so what is on the machine is known. */
  private boolean reconciled;

  private WorkerHeartbeat lastHeartbeat;

  /** The tasks in the last heartbeat that had not exited. */
  private int listedTasks;

  /** The last heartbeat was answered with 200. */
  private boolean answered;

  /** Heartbeats in a row that show that the answer before them was not taken. */
  private int missedAnswers;

  private boolean unresponsive;
  private MonotonicTime unresponsiveSince = MonotonicTime.NEVER;

  /** The request whose answer waits for a commit. */
  private long deferredReply = NO_REPLY;

  private MonotonicTime deferredUntil = MonotonicTime.NEVER;

  /** The fencing tokens of the commands to the worker. */
  public CommandTokens tokens() {
    return tokens;
  }

  /** The worker's incarnation, as of its last heartbeat. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** The number of its last heartbeat; -1 before the first. */
  public long sequence() {
    return sequence;
  }

  /** When its last confirmed heartbeat came; {@link MonotonicTime#NEVER} before the first. */
  public MonotonicTime lastHeard() {
    return lastHeard;
  }

  /** Whether a confirmed heartbeat has come at all. */
  public boolean hasConfirmedHeartbeat() {
    return firstHeard != MonotonicTime.NEVER;
  }

  /** Where it takes direct commands; empty if it has not said. */
  public String address() {
    return address;
  }

  /** Whether it has shown this owner's epoch, so that no earlier owner can renew its lease. */
  public boolean isConfirmed() {
    return confirmed;
  }

  /** Whether what is on the machine is known: a heartbeat was reconciled with the records. */
  public boolean isReconciled() {
    return reconciled;
  }

  /** The last heartbeat that was reconciled; null before the first. */
  public WorkerHeartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** The tasks in the last reconciled heartbeat that had not exited. */
  public int listedTasks() {
    return listedTasks;
  }

  /** Whether its heartbeats arrive although it seems not to get the answers. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Since when it has been unresponsive. */
  public MonotonicTime unresponsiveSince() {
    return unresponsiveSince;
  }

  /** How many answers in a row it has missed. */
  public int missedAnswers() {
    return missedAnswers;
  }

  /** Whether a heartbeat is of an incarnation that began after the one known. */
  public boolean isNewIncarnation(WorkerHeartbeat heartbeat) {
    return heartbeat.incarnation().compareTo(incarnation) > 0;
  }

  /**
   * Whether a heartbeat is a late or repeated one: incarnation and number must rise, and an
   * incarnation whose tasks were given up as surely gone is not listened to again.
   */
  public boolean isStale(WorkerHeartbeat heartbeat) {
    int order = heartbeat.incarnation().compareTo(incarnation);
    return order < 0
        || (order == 0 && heartbeat.sequence() <= sequence)
        || heartbeat.incarnation().compareTo(endedIncarnation) <= 0;
  }

  /**
   * Whether the worker has stayed with this owner since its last heartbeat: it got the answer, and
   * its numbers leave room for no other controller in between.
   */
  public boolean isConsecutive(WorkerHeartbeat heartbeat) {
    // Answers to direct commands are numbered with its heartbeats.
    return heartbeat.incarnation().equals(incarnation)
        && heartbeat.sequence() <= sequence + 1 + tokens.possiblyAnsweredDirectCommands()
        && answered
        && !hasDeferredReply();
  }

  /** Where the worker takes direct commands. */
  public void setAddress(String address) {
    this.address = address;
  }

  /**
   * Takes in a heartbeat that has not shown this owner's epoch, which may be a late copy of an old
   * one.
   */
  public void recordUnconfirmed(WorkerHeartbeat heartbeat) {
    incarnation = heartbeat.incarnation();
    sequence = heartbeat.sequence();
    answered = true;
  }

  /** Takes in a heartbeat that has shown this owner's epoch, which proves that the worker lives. */
  public void recordConfirmed(WorkerHeartbeat heartbeat, MonotonicTime now) {
    tokens.resetAnsweredDirectCommands();
    if (isNewIncarnation(heartbeat)) {
      tokens.forgetDirectStarts();
    }
    tokens.show(heartbeat.token());
    lastHeard = now;
    if (firstHeard == MonotonicTime.NEVER) {
      firstHeard = now;
    }
    confirmed = true;
    incarnation = heartbeat.incarnation();
    sequence = heartbeat.sequence();
    answered = true;
  }

  /** A heartbeat has been reconciled with the records. */
  public void recordReconciled(WorkerHeartbeat heartbeat) {
    lastHeartbeat = heartbeat;
    listedTasks = 0;
    heartbeat.tasks().forEach(task -> listedTasks += task.state() == TaskState.EXITED ? 0 : 1);
    reconciled = true;
  }

  /**
   * Takes in whether the last heartbeat shows that the answer before it was taken.
   *
   * @return whether the worker has just become unresponsive or responsive again
   */
  public Responsiveness recordAnswerTaken(boolean taken, MonotonicTime now) {
    if (taken) {
      boolean regained = unresponsive && missedAnswers >= UNRESPONSIVE_AFTER;
      unresponsive = false;
      missedAnswers = 0;
      return regained ? Responsiveness.REGAINED : Responsiveness.UNCHANGED;
    }
    if (!unresponsive) {
      unresponsive = true;
      unresponsiveSince = now;
    }
    missedAnswers++;
    return missedAnswers == UNRESPONSIVE_AFTER ? Responsiveness.LOST : Responsiveness.UNCHANGED;
  }

  /** What is on the machine is no longer known. */
  public void forgetReconciliation() {
    reconciled = false;
  }

  /** What the worker has shown before proves nothing any more. */
  public void forgetConfirmation() {
    confirmed = false;
    reconciled = false;
  }

  /** The worker's lease has surely run out, and with it the incarnation. */
  public void endIncarnation() {
    reconciled = false;
    if (endedIncarnation.compareTo(incarnation) < 0) {
      endedIncarnation = incarnation;
    }
  }

  /** Whether it can be sent direct commands under an epoch. */
  public boolean acceptsDirectCommands(Epoch epoch) {
    return !address.isEmpty()
        && confirmed
        && tokens.shown().epoch().equals(epoch)
        && !hasDeferredReply()
        && !tokens.current(epoch).isLast();
  }

  /** Seconds until it can be told something: in the answer to its next heartbeat. */
  public double secondsToNextAnswer(MonotonicTime now, double heartbeatIntervalS) {
    if (hasDeferredReply()) {
      return 0;
    }
    return Math.max(0, heartbeatIntervalS - now.since(lastHeard) / 1000.0);
  }

  /** Whether the answer to its last heartbeat waits for a commit. */
  public boolean hasDeferredReply() {
    return deferredReply != NO_REPLY;
  }

  /** Until when the answer may wait. */
  public MonotonicTime deferredUntil() {
    return deferredUntil;
  }

  /** Holds the answer to the last heartbeat back. */
  public void deferReply(long reply, MonotonicTime until) {
    deferredReply = reply;
    deferredUntil = until;
  }

  /** Takes the request whose answer was held back, which is answered now with 200. */
  public long takeDeferredReply() {
    long reply = deferredReply;
    deferredReply = NO_REPLY;
    return reply;
  }

  /** Takes the request whose answer was held back, which is refused. */
  public long refuseDeferredReply() {
    answered = false;
    return takeDeferredReply();
  }
}
