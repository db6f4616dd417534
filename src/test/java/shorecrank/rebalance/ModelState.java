package shorecrank.rebalance;

import java.util.List;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/**
 * One machine, its move, the leader, both owners and the state service, with as little state as
 * shows what can go wrong.
 */
record ModelState(Service service, Leader leader, Source source, Messages messages, Target target) {
  /** What an owner was told of the machine. */
  enum View {
    ASSIGNED,
    /** It is to drain the machine and release it. */
    DRAINING,
    NOT_ASSIGNED
  }

  /** A write of the leader that is under way: it moves to a phase behind a revision and a term. */
  record Write(MovePhase to, int revision, int term) {
    /** The same write behind another number for its revision. */
    Write withRevision(int next) {
      return new Write(to, next, term);
    }
  }

  /** What the leader knows of its last write. */
  enum WriteStatus {
    NONE,
    SENT,
    IN_DOUBT
  }

  /** The source's task on the machine, as its owner knows it. */
  enum Task {
    NONE,
    /** Placed; the record's write has no answer. */
    PLACED,
    RUNNING,
    /** Its exit was reported, and is not recorded yet. */
    EXITED
  }

  /** The state service: the move's phase, the machine's assignment, and writes under way. */
  record Service(MovePhase phase, boolean assignedToTarget, int revision, List<Write> pending) {
    /** The same keys with other writes under way. */
    Service withPending(List<Write> writes) {
      return new Service(phase, assignedToTarget, revision, List.copyOf(writes));
    }
  }

  /**
   * The leader: what it has read, its last write, and what owners have reported.
   *
   * @param number the term: the first leader is 1
   * @param released whether the source's owner has released the machine
   * @param arrived whether the target's owner hears the machine
   */
  record Leader(
      int number,
      boolean loaded,
      MovePhase known,
      int knownRevision,
      WriteStatus writeStatus,
      MovePhase writing,
      boolean released,
      boolean arrived) {
    /** The key was read, or is known from a write. */
    Leader reads(MovePhase phase, int revision) {
      return new Leader(number, true, phase, revision, WriteStatus.NONE, null, released, arrived);
    }

    /** What was read does not count any more. */
    Leader unread() {
      return new Leader(number, false, null, 0, WriteStatus.NONE, null, false, false);
    }

    /** A write to a phase has a new status. */
    Leader writes(WriteStatus status, MovePhase phase) {
      return new Leader(number, true, known, knownRevision, status, phase, released, arrived);
    }

    /** Owners have reported. */
    Leader hears(boolean isReleased, boolean isArrived) {
      return new Leader(
          number, loaded, known, knownRevision, writeStatus, writing, isReleased, isArrived);
    }

    /** The same with another number for the known revision. */
    Leader revised(int revision) {
      return new Leader(number, loaded, known, revision, writeStatus, writing, released, arrived);
    }
  }

  /**
   * The source's owner and its job.
   *
   * @param owner counts the owners: the first is 1
   * @param released whether this owner has reported that nothing is left on the machine
   * @param claimed whether this owner has written the record itself
   * @param recorded whether the record names the machine
   * @param recordPending whether a write that makes it name the machine may yet be carried out
   */
  record Source(
      int owner,
      View view,
      boolean released,
      boolean claimed,
      Task task,
      boolean recorded,
      boolean recordPending) {
    /** The owner is told of the machine, or reports its release. */
    Source told(View next, boolean isReleased) {
      return new Source(owner, next, isReleased, claimed, task, recorded, recordPending);
    }

    /** The task or its record has changed. */
    Source record(boolean isClaimed, Task next, boolean isRecorded, boolean isPending) {
      return new Source(owner, view, released, isClaimed, next, isRecorded, isPending);
    }

    /** Another owner, which knows of the task what the record says. */
    Source successor(View next) {
      Task found = recorded ? Task.RUNNING : Task.NONE;
      return new Source(owner + 1, next, false, false, found, recorded, recordPending);
    }

    /** Whether the owner may command the machine's worker. */
    boolean commands() {
      return view == View.ASSIGNED || (view == View.DRAINING && !released);
    }
  }

  /**
   * The messages under way between leader and source.
   *
   * @param heartbeat the owner (1 or 2) whose report of the release is under way; 0 for none
   * @param answer what the source's owner is about to be told; null for nothing
   */
  record Messages(int heartbeat, View answer) {}

  /** The target's owner: whether it was told of the machine, and whether it hears it. */
  record Target(boolean isAssigned, boolean isHeard) {}

  /** The state before the move is written down. */
  static final ModelState INITIAL =
      new ModelState(
          new Service(null, false, 0, List.of()),
          new Leader(1, true, null, 0, WriteStatus.NONE, null, false, false),
          new Source(1, View.ASSIGNED, false, true, Task.NONE, false, false),
          new Messages(0, null),
          new Target(false, false));

  /** The same with another state of the service. */
  ModelState with(Service next) {
    return new ModelState(next, leader, source, messages, target);
  }

  /** The same with another state of the leader. */
  ModelState with(Leader next) {
    return new ModelState(service, next, source, messages, target);
  }

  /** The same with another state of the source. */
  ModelState with(Source next) {
    return new ModelState(service, leader, next, messages, target);
  }

  /** The same with other messages under way. */
  ModelState with(Messages next) {
    return new ModelState(service, leader, source, next, target);
  }

  /** The same with another state of the target. */
  ModelState with(Target next) {
    return new ModelState(service, leader, source, messages, next);
  }
}
