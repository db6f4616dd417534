package shorecrank.coordination.model;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * What a shard owner knows of one worker from its heartbeats: the worker's incarnation, when it was
 * last alive, which epoch and which answers of this owner it has received, and the heartbeat whose
 * answer is deferred.
 */
public final class WorkerSession {
  private static final long NO_REPLY = -1;

  /** A worker that has missed this many answers in a row is reported as unresponsive. */
  private static final int MISSED_ANSWERS_TO_REPORT = 2;

  /** A change of whether the worker receives the answers to its heartbeats. */
  public enum Responsiveness {
    /** There is no change that has to be reported. */
    UNCHANGED,
    /** The worker has now missed several answers in a row. */
    LOST,
    /** The worker has received an answer after it missed several in a row. */
    REGAINED
  }

  private final CommandTokens tokens = new CommandTokens();
  private Incarnation incarnation = new Incarnation(0);

  /** The last incarnation that has ended because the worker's lease expired. */
  private Incarnation endedIncarnation = new Incarnation(-1);

  private long sequence = -1;
  private MonotonicTime firstConfirmedAt = MonotonicTime.NEVER;
  private MonotonicTime lastConfirmedAt = MonotonicTime.NEVER;
  private MonotonicTime lastArrivedAt = MonotonicTime.NEVER;

  /** The address for direct commands, or empty if the worker has named none. */
  private String address = "";

  /**
   * Whether the worker has shown this owner's epoch, so that no earlier owner can renew its lease.
   */
  private boolean confirmed;

  /** Whether a heartbeat was reconciled with the records, so that the machine's tasks are known. */
  private boolean reconciled;

  private WorkerHeartbeat lastHeartbeat;

  /** How many tasks in the last reconciled heartbeat had not exited. */
  private int listedTasks;

  /** Whether the last heartbeat was answered with status 200, or will be. */
  private boolean answered;

  /** How many heartbeats in a row show that the worker has missed the answer before them. */
  private int missedAnswers;

  private boolean unresponsive;
  private MonotonicTime unresponsiveSince = MonotonicTime.NEVER;

  /** The heartbeat request whose answer is deferred until a write is committed. */
  private long deferredReply = NO_REPLY;

  private MonotonicTime deferredUntil = MonotonicTime.NEVER;

  /** Returns the fencing tokens for commands to the worker. */
  public CommandTokens tokens() {
    return tokens;
  }

  /** Returns the worker's incarnation as of its last heartbeat. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the sequence number of the worker's last heartbeat; -1 before the first one. */
  public long sequence() {
    return sequence;
  }

  /**
   * Returns when the last confirmed heartbeat arrived; {@link MonotonicTime#NEVER} before the first
   * one.
   */
  public MonotonicTime lastConfirmedAt() {
    return lastConfirmedAt;
  }

  /**
   * Returns when the last heartbeat arrived, confirmed or not, that is newer than those before it;
   * {@link MonotonicTime#NEVER} before the first one. It shows that the worker reaches this owner,
   * not that the worker has received its answers.
   */
  public MonotonicTime lastArrivedAt() {
    return lastArrivedAt;
  }

  /** Reports whether any heartbeat has ever arrived. */
  public boolean hasArrived() {
    return lastArrivedAt != MonotonicTime.NEVER;
  }

  /** Reports whether a confirmed heartbeat has ever arrived. */
  public boolean hasConfirmedHeartbeat() {
    return firstConfirmedAt != MonotonicTime.NEVER;
  }

  /** Returns the address for direct commands, or an empty string if the worker has named none. */
  public String address() {
    return address;
  }

  /**
   * Reports whether the worker has shown this owner's epoch, so that no earlier owner can renew its
   * lease.
   */
  public boolean isConfirmed() {
    return confirmed;
  }

  /**
   * Reports whether a heartbeat was reconciled with the records, so that the tasks on the machine
   * are known.
   */
  public boolean isReconciled() {
    return reconciled;
  }

  /** Returns the last heartbeat that was reconciled with the records, or null before the first. */
  public WorkerHeartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** Returns how many tasks in the last reconciled heartbeat had not exited. */
  public int listedTasks() {
    return listedTasks;
  }

  /** Reports whether the worker's heartbeats arrive while it seems to miss the answers to them. */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Returns when the worker last became unresponsive. */
  public MonotonicTime unresponsiveSince() {
    return unresponsiveSince;
  }

  /** Returns how many answers in a row the worker has missed. */
  public int missedAnswers() {
    return missedAnswers;
  }

  /** Reports whether a heartbeat is from a later incarnation than {@link #incarnation()}. */
  public boolean isNewIncarnation(WorkerHeartbeat heartbeat) {
    return heartbeat.incarnation().compareTo(incarnation) > 0;
  }

  /**
   * Reports whether a heartbeat is delayed or duplicated and must be ignored. Its incarnation or
   * sequence number has to be higher than the last one, and its incarnation must not have ended by
   * the expiry of the worker's lease: the tasks of that incarnation count as lost.
   */
  public boolean isStale(WorkerHeartbeat heartbeat) {
    int order = heartbeat.incarnation().compareTo(incarnation);
    return order < 0
        || (order == 0 && heartbeat.sequence() <= sequence)
        || heartbeat.incarnation().compareTo(endedIncarnation) <= 0;
  }

  /**
   * Reports whether the worker has sent its heartbeats to no other controller since its last one to
   * this owner: the owner has answered that one, and no sequence number is missing in between.
   */
  public boolean isConsecutive(WorkerHeartbeat heartbeat) {
    // The worker numbers its answers to direct commands and its heartbeats in one sequence.
    return heartbeat.incarnation().equals(incarnation)
        && heartbeat.sequence() <= sequence + 1 + tokens.possiblyAnsweredDirectCommands()
        && answered
        && !hasDeferredReply();
  }

  /** Sets the address for direct commands; empty if the worker has named none. */
  public void setAddress(String address) {
    this.address = address;
  }

  /**
   * Records a heartbeat that does not show this owner's epoch. It may be a delayed copy, so it does
   * not prove that the worker is alive.
   */
  public void recordUnconfirmed(WorkerHeartbeat heartbeat, MonotonicTime now) {
    lastArrivedAt = now;
    incarnation = heartbeat.incarnation();
    sequence = heartbeat.sequence();
    answered = true;
  }

  /** Records a heartbeat that shows this owner's epoch, which proves that the worker is alive. */
  public void recordConfirmed(WorkerHeartbeat heartbeat, MonotonicTime now) {
    tokens.resetAnsweredDirectCommands();
    if (isNewIncarnation(heartbeat)) {
      tokens.clearDirectStarts();
    }
    tokens.recordShown(heartbeat.token());
    lastArrivedAt = now;
    lastConfirmedAt = now;
    if (firstConfirmedAt == MonotonicTime.NEVER) {
      firstConfirmedAt = now;
    }
    confirmed = true;
    incarnation = heartbeat.incarnation();
    sequence = heartbeat.sequence();
    answered = true;
  }

  /** Records that a heartbeat was reconciled with the records. */
  public void recordReconciled(WorkerHeartbeat heartbeat) {
    lastHeartbeat = heartbeat;
    listedTasks = 0;
    heartbeat.tasks().forEach(task -> listedTasks += task.state() == TaskState.EXITED ? 0 : 1);
    reconciled = true;
  }

  /**
   * Records whether the last heartbeat shows that the worker has received the answer before it. The
   * first missed answer makes the worker unresponsive; only several in a row are reported.
   *
   * @return the change to report
   */
  public Responsiveness recordAnswerReceived(boolean received, MonotonicTime now) {
    if (received) {
      boolean regained = unresponsive && missedAnswers >= MISSED_ANSWERS_TO_REPORT;
      unresponsive = false;
      missedAnswers = 0;
      return regained ? Responsiveness.REGAINED : Responsiveness.UNCHANGED;
    }
    if (!unresponsive) {
      unresponsive = true;
      unresponsiveSince = now;
    }
    missedAnswers++;
    return missedAnswers == MISSED_ANSWERS_TO_REPORT
        ? Responsiveness.LOST
        : Responsiveness.UNCHANGED;
  }

  /** Records that the tasks on the machine are no longer known. */
  public void clearReconciled() {
    reconciled = false;
  }

  /** Records that the worker has to show this owner's epoch again before its heartbeats count. */
  public void clearConfirmed() {
    confirmed = false;
    reconciled = false;
  }

  /** Records that the worker's lease has expired for certain, which ends its incarnation. */
  public void endIncarnation() {
    reconciled = false;
    if (endedIncarnation.compareTo(incarnation) < 0) {
      endedIncarnation = incarnation;
    }
  }

  /** Reports whether direct commands may be sent to the worker under an epoch. */
  public boolean acceptsDirectCommands(Epoch epoch) {
    return !address.isEmpty()
        && confirmed
        && tokens.shown().epoch().equals(epoch)
        && !hasDeferredReply()
        && !tokens.current(epoch).isLast();
  }

  /**
   * Returns the seconds until a heartbeat answer can carry a command: 0 if an answer is deferred,
   * else until the next heartbeat is due.
   */
  public double secondsToNextAnswer(MonotonicTime now, double heartbeatIntervalS) {
    if (hasDeferredReply()) {
      return 0;
    }
    return Math.max(0, heartbeatIntervalS - now.since(lastConfirmedAt) / 1000.0);
  }

  /** Reports whether the answer to the last heartbeat is deferred until a write is committed. */
  public boolean hasDeferredReply() {
    return deferredReply != NO_REPLY;
  }

  /** Returns until when the answer to the last heartbeat may be deferred. */
  public MonotonicTime deferredUntil() {
    return deferredUntil;
  }

  /**
   * Defers the answer to the last heartbeat.
   *
   * @param reply identifies the heartbeat request to answer
   */
  public void deferReply(long reply, MonotonicTime until) {
    deferredReply = reply;
    deferredUntil = until;
  }

  /**
   * Removes the deferred reply.
   *
   * @return the number of the heartbeat request, which the caller answers now with status 200
   */
  public long removeDeferredReply() {
    long reply = deferredReply;
    deferredReply = NO_REPLY;
    return reply;
  }

  /**
   * Removes the deferred reply and records that the last heartbeat was refused.
   *
   * @return the number of the heartbeat request, which the caller refuses now
   */
  public long refuseDeferredReply() {
    answered = false;
    return removeDeferredReply();
  }
}
