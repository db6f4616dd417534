package shorecrank.rebalance;

import java.util.List;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/**
 * A state of the model of one machine's move: the state service, the leader, the owners of the
 * source and the target shard, and the messages under way. It holds only what the rules of {@link
 * MoveModel} and the guards of the protocol depend on.
 */
record ModelState(Service service, Leader leader, Source source, Messages messages, Target target) {
  /** What the leader has told the source's owner about the machine. */
  enum View {
    ASSIGNED,
    /** The owner has to drain the machine and to release it. */
    DRAINING,
    NOT_ASSIGNED
  }

  /**
   * A write of the leader that is under way.
   *
   * @param phase the phase that is written
   * @param revision the key's revision that guards the write
   * @param term the leader's term that guards the write
   */
  record Write(MovePhase phase, int revision, int term) {
    /** Returns this write with another revision as its guard. */
    Write withRevision(int next) {
      return new Write(phase, next, term);
    }
  }

  /** What the leader knows of its last write. */
  enum WriteStatus {
    NONE,
    SENT,
    IN_DOUBT
  }

  /** The task of the source shard on the machine, as the source's owner knows it. */
  enum Task {
    NONE,
    /** Placed; the write of the record that names the machine has no answer yet. */
    PLACED,
    RUNNING,
    /** The task's exit was reported, and is not yet written to the record. */
    EXITED
  }

  /**
   * The state service.
   *
   * @param phase the stored phase of the move; null if no move is stored
   * @param assignedToTarget whether the machine is assigned to the target; if not, to the source
   * @param revision the key's revision
   * @param pending the leader's writes that are under way
   */
  record Service(MovePhase phase, boolean assignedToTarget, int revision, List<Write> pending) {
    /** Returns this state with other writes under way. */
    Service withPending(List<Write> writes) {
      return new Service(phase, assignedToTarget, revision, List.copyOf(writes));
    }
  }

  /**
   * The leader: what it has read, its last write, and what owners have reported.
   *
   * @param term the leader's term, counted from 1
   * @param loaded whether the leader knows the key's value; if not, it has to read it
   * @param knownPhase the phase of the move as last read or written; null if there is no move
   * @param knownRevision the key's revision as last read or written
   * @param writePhase the phase in the last write while that is under way or in doubt; else null
   * @param released whether the source's owner has released the machine
   * @param arrived whether the target's owner hears the machine
   */
  record Leader(
      int term,
      boolean loaded,
      MovePhase knownPhase,
      int knownRevision,
      WriteStatus writeStatus,
      MovePhase writePhase,
      boolean released,
      boolean arrived) {
    /** Returns the leader after it has read the key, or has received the answer to a write. */
    Leader withKnownPhase(MovePhase phase, int revision) {
      return new Leader(term, true, phase, revision, WriteStatus.NONE, null, released, arrived);
    }

    /** Returns the leader without what it has read, so that it has to read the key again. */
    Leader withoutKnownPhase() {
      return new Leader(term, false, null, 0, WriteStatus.NONE, null, false, false);
    }

    /** Returns the leader with another status of its write. */
    Leader withWrite(WriteStatus status, MovePhase phase) {
      return new Leader(term, true, knownPhase, knownRevision, status, phase, released, arrived);
    }

    /** Returns the leader with other reports of the owners. */
    Leader withReports(boolean isReleased, boolean isArrived) {
      return new Leader(
          term, loaded, knownPhase, knownRevision, writeStatus, writePhase, isReleased, isArrived);
    }

    /** Returns the leader with another known revision. */
    Leader withKnownRevision(int revision) {
      return new Leader(
          term, loaded, knownPhase, revision, writeStatus, writePhase, released, arrived);
    }
  }

  /**
   * The source's owner, its task on the machine and the record of its job.
   *
   * @param ownerNumber the number of the source's present owner, counted from 1
   * @param view what this owner was told about the machine
   * @param released whether this owner has reported that nothing is left on the machine
   * @param claimed whether this owner has claimed the record by writing it
   * @param recorded whether the record names the machine
   * @param recordPending whether a write by which the record names the machine may yet be committed
   */
  record Source(
      int ownerNumber,
      View view,
      boolean released,
      boolean claimed,
      Task task,
      boolean recorded,
      boolean recordPending) {
    /** Returns the source with another view of its owner, or after its owner's release. */
    Source withView(View next, boolean isReleased) {
      return new Source(ownerNumber, next, isReleased, claimed, task, recorded, recordPending);
    }

    /** Returns the source with another task and record. */
    Source withRecord(boolean isClaimed, Task next, boolean isRecorded, boolean isPending) {
      return new Source(ownerNumber, view, released, isClaimed, next, isRecorded, isPending);
    }

    /** Returns the source under a new owner, which knows the task only from the record. */
    Source successor(View next) {
      Task found = recorded ? Task.RUNNING : Task.NONE;
      return new Source(ownerNumber + 1, next, false, false, found, recorded, recordPending);
    }

    /** Reports whether the source's owner may send commands to the machine's worker. */
    boolean canCommand() {
      return view == View.ASSIGNED || (view == View.DRAINING && !released);
    }
  }

  /**
   * The messages under way between the leader and the source's owner.
   *
   * @param releasingOwner the number of the owner whose report of the machine's release is under
   *     way; 0 if there is no such report
   * @param answer what an answer under way tells the source's owner; null if no answer is under way
   */
  record Messages(int releasingOwner, View answer) {}

  /**
   * The target's owner.
   *
   * @param isAssigned whether the owner was told that the machine is assigned to the target
   * @param isHeard whether the owner hears the machine
   */
  record Target(boolean isAssigned, boolean isHeard) {}

  /** The state before the move is written. */
  static final ModelState INITIAL =
      new ModelState(
          new Service(null, false, 0, List.of()),
          new Leader(1, true, null, 0, WriteStatus.NONE, null, false, false),
          new Source(1, View.ASSIGNED, false, true, Task.NONE, false, false),
          new Messages(0, null),
          new Target(false, false));

  /** Returns this state with another state of the state service. */
  ModelState with(Service next) {
    return new ModelState(next, leader, source, messages, target);
  }

  /** Returns this state with another state of the leader. */
  ModelState with(Leader next) {
    return new ModelState(service, next, source, messages, target);
  }

  /** Returns this state with another state of the source. */
  ModelState with(Source next) {
    return new ModelState(service, leader, next, messages, target);
  }

  /** Returns this state with other messages under way. */
  ModelState with(Messages next) {
    return new ModelState(service, leader, source, next, target);
  }

  /** Returns this state with another state of the target. */
  ModelState with(Target next) {
    return new ModelState(service, leader, source, messages, next);
  }
}
