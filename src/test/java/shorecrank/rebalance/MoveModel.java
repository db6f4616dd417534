package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.HostName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.PartId;
import shorecrank.protocol.ShareMessages.DrainProgress;
import shorecrank.protocol.ShareMessages.DrainState;
import shorecrank.protocol.ShareMessages.Move;
import shorecrank.protocol.ShareMessages.MovePhase;
import shorecrank.rebalance.MoveRules.Observation;
import shorecrank.rebalance.MoveRules.Step;

/**
 * One machine, its move, the leader, both owners and the state service, with as little state as
 * shows what can go wrong. The leader's decisions are {@link MoveRules}; the rest follows the
 * design's page step by step.
 */
final class MoveModel {
  private static final PartId SOURCE = new PartId(0);
  private static final PartId TARGET = new PartId(1);
  private static final Epoch TERM = new Epoch(1);
  private static final double TIMEOUT_S = 100;
  private static final int MOST_LEADERS = 3;
  private static final int MOST_OWNERS = 2;
  private static final int MOST_PENDING = 2;

  /** A guard that is taken out. */
  enum Fault {
    /** Writes don't check the key's revision. */
    NO_REVISION_GUARD,
    /** Writes don't check the leader's term. */
    NO_TERM_GUARD,
    /** The owner hands back while a record names the machine. */
    RECORD_IGNORED,
    /** The owner hands back while a write that names the machine has no answer. */
    PENDING_RECORD_IGNORED,
    /** A new owner hands back before it has written the records itself. */
    CLAIM_NOT_AWAITED,
    /** What was handed back holds for a new owner too. */
    HANDED_BACK_KEPT_OVER_MINT,
    /** Owners are told of a machine whose handover is in doubt. */
    TOLD_IN_DOUBT,
    /** The new owner is told before the handover is known to be written. */
    TOLD_BEFORE_WRITTEN,
    /** A new leader lets owners use machines before it has read the moves. */
    MOVES_NOT_READ_FIRST,
    /** A refusal is not waited for: a write without an answer counts as not carried out. */
    UNKNOWN_IS_REFUSED
  }

  /** What an owner was told of the machine. */
  enum View {
    MINE,
    RECALLED,
    NOT_MINE
  }

  /** What a write without an answer would do. */
  record Write(MovePhase to, int revision, int term) {}

  /** The leader's write that is not settled. */
  enum Open {
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

  /**
   * Everything.
   *
   * @param phase in the state service; null before the move is written down
   * @param recorded whether the record names the machine
   * @param recordPending whether a write that makes it name the machine may yet be carried out
   * @param heartbeat the source's owner (1 or 2) whose word that the machine is back is under way;
   *     0 for none
   * @param answer what is under way to the source's owner; null for nothing
   */
  record State(
      MovePhase phase,
      boolean assignedToTarget,
      int revision,
      int leader,
      boolean loaded,
      MovePhase known,
      int knownRevision,
      Open open,
      MovePhase writing,
      boolean handedBack,
      boolean arrived,
      List<Write> pending,
      int owner,
      View view,
      boolean saidBack,
      boolean claimed,
      Task task,
      boolean recorded,
      boolean recordPending,
      int heartbeat,
      View answer,
      boolean targetHas,
      boolean targetHeard) {
    static final State INITIAL =
        new State(
            null, false, 0, 1, true, null, 0, Open.NONE, null, false, false, List.of(), 1,
            View.MINE, false, true, Task.NONE, false, false, 0, null, false, false);

    State store(MovePhase phase, boolean toTarget, int revision, List<Write> pending) {
      return new State(
          phase,
          toTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State leader(boolean loaded, MovePhase known, int revision, Open open, MovePhase writing) {
      return new State(
          phase,
          assignedToTarget,
          this.revision,
          leader,
          loaded,
          known,
          revision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State facts(boolean back, boolean hasArrived) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          back,
          hasArrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State nextLeader() {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader + 1,
          false,
          null,
          0,
          Open.NONE,
          null,
          false,
          false,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State source(View view, boolean saidBack, Task task) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State nextOwner(View view) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner + 1,
          view,
          false,
          false,
          recorded ? Task.RUNNING : Task.NONE,
          recorded,
          recordPending,
          heartbeat,
          null,
          targetHas,
          targetHeard);
    }

    State record(boolean claimed, Task task, boolean recorded, boolean recordPending) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State messages(int heartbeat, View answer) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          targetHas,
          targetHeard);
    }

    State target(boolean has, boolean heard) {
      return new State(
          phase,
          assignedToTarget,
          revision,
          leader,
          loaded,
          known,
          knownRevision,
          open,
          writing,
          handedBack,
          arrived,
          pending,
          owner,
          view,
          saidBack,
          claimed,
          task,
          recorded,
          recordPending,
          heartbeat,
          answer,
          has,
          heard);
    }

    boolean sourceCommands() {
      return view == View.MINE || (view == View.RECALLED && !saidBack);
    }
  }

  private final Set<Fault> faults;

  MoveModel(Set<Fault> faults) {
    this.faults = faults;
  }

  /** The rule that a state breaks; empty if it breaks none. */
  String broken(State s) {
    if (s.targetHas && s.sourceCommands()) {
      return "two owners may command the machine";
    }
    if (s.targetHas && (s.recorded || s.recordPending)) {
      return "a record of the source may name a machine of the target";
    }
    boolean over = s.phase == MovePhase.HANDED_OVER || s.phase == MovePhase.DONE;
    if (s.assignedToTarget && s.phase != MovePhase.ABORTED && !over) {
      return "assigned without a move that says so";
    }
    return "";
  }

  /** All that can happen next. */
  void next(State s, BiConsumer<String, State> each) {
    BiConsumer<String, State> to = (event, next) -> each.accept(event, normalized(next));
    leaderActs(s, to);
    storeActs(s, to);
    sourceActs(s, to);
    recordActs(s, to);
    if (s.targetHas && !s.targetHeard) {
      to.accept("the target hears the machine", s.target(true, true));
    }
  }

  /**
   * The same state with the lowest revisions that keep their order, and without writes that can't
   * be carried out any more and that nobody waits for: so there are finitely many.
   */
  private State normalized(State s) {
    List<Write> pending = new ArrayList<>();
    for (Write write : s.pending) {
      boolean possible =
          (write.revision == s.revision || faults.contains(Fault.NO_REVISION_GUARD))
              && (write.term == s.leader || faults.contains(Fault.NO_TERM_GUARD));
      if (possible || isAwaited(s, write)) {
        pending.add(write);
      }
    }
    TreeSet<Integer> revisions = new TreeSet<>(List.of(s.revision, s.knownRevision));
    pending.forEach(write -> revisions.add(write.revision));
    List<Integer> inOrder = List.copyOf(revisions);
    pending.replaceAll(w -> new Write(w.to, inOrder.indexOf(w.revision), w.term));
    State same =
        s.store(s.phase, s.assignedToTarget, inOrder.indexOf(s.revision), List.copyOf(pending));
    return same.leader(s.loaded, s.known, inOrder.indexOf(s.knownRevision), s.open, s.writing);
  }

  /** Whether the leader waits for the answer to a write. */
  private static boolean isAwaited(State s, Write write) {
    return s.open == Open.SENT && write.equals(new Write(s.writing, s.knownRevision, s.leader));
  }

  // ---- the leader ------------------------------------------------------------------------------

  private void leaderActs(State s, BiConsumer<String, State> to) {
    if (s.leader < MOST_LEADERS) {
      to.accept("the leader ends", s.nextLeader());
    }
    if (!s.loaded) {
      to.accept("the leader reads", s.leader(true, s.phase, s.revision, Open.NONE, null));
      if (faults.contains(Fault.MOVES_NOT_READ_FIRST)) {
        tellSource(s, View.MINE, to);
      }
      return;
    }
    if (s.owner < MOST_OWNERS) {
      boolean keeps = faults.contains(Fault.HANDED_BACK_KEPT_OVER_MINT);
      State minted = s.nextOwner(told(s)).facts(keeps && s.handedBack, s.arrived);
      to.accept("a new owner", minted);
    }
    tellSource(s, told(s), to);
    boolean handing = s.open != Open.NONE && s.writing == MovePhase.HANDED_OVER;
    boolean early = faults.contains(Fault.TOLD_BEFORE_WRITTEN) && handing;
    if (!s.targetHas && (isOver(s.known) || early)) {
      to.accept("the target is told", s.target(true, false));
    }
    if (s.targetHeard && !s.arrived) {
      to.accept("the target reports", s.facts(s.handedBack, true));
    }
    if (s.heartbeat > 0) {
      // Only the present owner's word counts, under its own epoch.
      boolean counts = s.heartbeat == s.owner && isBefore(s.known);
      State heard = s.messages(0, s.answer);
      to.accept("the heartbeat arrives", heard.facts(s.handedBack || counts, s.arrived));
    }
    if (s.open == Open.NONE) {
      decide(s, to);
    } else if (s.open == Open.IN_DOUBT && s.pending.size() < MOST_PENDING) {
      settle(s, to);
    }
  }

  private static boolean isOver(MovePhase phase) {
    return phase == MovePhase.HANDED_OVER || phase == MovePhase.DONE;
  }

  private static boolean isBefore(MovePhase phase) {
    return phase == MovePhase.REQUESTED || phase == MovePhase.DRAINING;
  }

  /** What the source's owner is told now. */
  private View told(State s) {
    boolean handing = s.open != Open.NONE && s.writing == MovePhase.HANDED_OVER;
    boolean doubtful = handing && !faults.contains(Fault.TOLD_IN_DOUBT);
    // A move may also be given up after the handover: the assignment stays.
    boolean passed = s.known == MovePhase.ABORTED && s.assignedToTarget;
    if (isOver(s.known) || passed || doubtful) {
      return View.NOT_MINE;
    }
    return isBefore(s.known) ? View.RECALLED : View.MINE;
  }

  private static void tellSource(State s, View view, BiConsumer<String, State> to) {
    if (s.answer == null) {
      to.accept("the source is answered " + view, s.messages(s.heartbeat, view));
    }
  }

  private void decide(State s, BiConsumer<String, State> to) {
    if (s.known == null) {
      send(s, MovePhase.REQUESTED, to);
      return;
    }
    if (s.known.isEnd()) {
      return;
    }
    for (double ageS : new double[] {0, TIMEOUT_S + 1, 3 * TIMEOUT_S}) {
      for (DrainProgress progress : progress(s)) {
        Step step = MoveRules.next(move(s.known), observation(s, progress, ageS), TIMEOUT_S);
        switch (step.action()) {
          case STAY -> {}
          case NOTE_DRAINING -> send(s, MovePhase.DRAINING, to);
          case HAND_OVER -> send(s, MovePhase.HANDED_OVER, to);
          case FINISH -> send(s, MovePhase.DONE, to);
          case ABORT -> send(s, MovePhase.ABORTED, to);
        }
      }
    }
  }

  private static List<DrainProgress> progress(State s) {
    List<DrainProgress> all = new ArrayList<>();
    all.add(null);
    if (s.view == View.RECALLED) {
      all.add(new DrainProgress(new MoveId(1), DrainState.DRAINING, 1, 1));
      all.add(new DrainProgress(new MoveId(1), DrainState.SILENT, 1, 1));
    }
    return all;
  }

  private static Observation observation(State s, DrainProgress progress, double ageS) {
    PartId assigned = isOver(s.known) ? TARGET : SOURCE;
    return new Observation(assigned, TERM, progress, true, s.handedBack, s.arrived, ageS);
  }

  private static Move move(MovePhase phase) {
    return new Move(new MoveId(1), new HostName("n-1"), SOURCE, TARGET, TERM, phase, "", 0, "");
  }

  private void send(State s, MovePhase phase, BiConsumer<String, State> to) {
    if (s.pending.size() < MOST_PENDING) {
      State sent = s.leader(true, s.known, s.knownRevision, Open.SENT, phase);
      to.accept("the leader writes " + phase, with(sent, phase));
    }
  }

  private static State with(State s, MovePhase phase) {
    List<Write> pending = new ArrayList<>(s.pending);
    pending.add(new Write(phase, s.knownRevision, s.leader));
    return s.store(s.phase, s.assignedToTarget, s.revision, List.copyOf(pending));
  }

  /** Writes what is there once more, or finds that it has moved on. */
  private void settle(State s, BiConsumer<String, State> to) {
    if (s.revision == s.knownRevision) {
      State settled = s.store(s.phase, s.assignedToTarget, s.revision + 1, s.pending);
      settled = settled.leader(true, s.known, s.revision + 1, Open.NONE, null);
      to.accept("settled: not carried out", settled.facts(false, s.arrived));
    } else {
      State reread = s.leader(false, null, 0, Open.NONE, null).facts(false, false);
      to.accept("settled: carried out", reread);
    }
  }

  // ---- the state service -----------------------------------------------------------------------

  private void storeActs(State s, BiConsumer<String, State> to) {
    for (Write write : Set.copyOf(s.pending)) {
      List<Write> left = new ArrayList<>(s.pending);
      left.remove(write);
      boolean sameRevision =
          write.revision == s.revision || faults.contains(Fault.NO_REVISION_GUARD);
      boolean sameTerm = write.term == s.leader || faults.contains(Fault.NO_TERM_GUARD);
      boolean awaited = isAwaited(s, write);
      if (!sameRevision || !sameTerm) {
        State refused = s.store(s.phase, s.assignedToTarget, s.revision, List.copyOf(left));
        to.accept(
            "refused " + write.to,
            awaited
                ? refused.leader(false, null, 0, Open.NONE, null).facts(false, false)
                : refused);
        continue;
      }
      boolean toTarget =
          write.to == MovePhase.HANDED_OVER || (write.to == MovePhase.DONE && s.assignedToTarget);
      boolean stays = write.to == MovePhase.ABORTED && s.assignedToTarget;
      int revision = s.revision + 1;
      State done = s.store(write.to, toTarget || stays, revision, List.copyOf(left));
      if (awaited) {
        to.accept("committed " + write.to, done.leader(true, write.to, revision, Open.NONE, null));
      }
      to.accept("committed unheard " + write.to, awaited ? unanswered(done) : done);
    }
    if (s.open == Open.SENT) {
      to.accept("no answer yet", unanswered(s));
    }
  }

  private State unanswered(State s) {
    if (faults.contains(Fault.UNKNOWN_IS_REFUSED)) {
      return s.leader(true, s.known, s.knownRevision, Open.NONE, null);
    }
    return s.leader(true, s.known, s.knownRevision, Open.IN_DOUBT, s.writing);
  }

  // ---- the source's owner ----------------------------------------------------------------------

  private void sourceActs(State s, BiConsumer<String, State> to) {
    if (s.answer != null) {
      to.accept("the answer is lost", s.messages(s.heartbeat, null));
      boolean back = s.saidBack && s.answer != View.MINE;
      State told = s.messages(s.heartbeat, null).source(s.answer, back, s.task);
      to.accept("the source learns " + s.answer, told);
    }
    boolean settled =
        s.task == Task.NONE
            && (!s.recorded || faults.contains(Fault.RECORD_IGNORED))
            && (!s.recordPending || faults.contains(Fault.PENDING_RECORD_IGNORED) || !s.claimed)
            && (s.claimed || faults.contains(Fault.CLAIM_NOT_AWAITED));
    if (s.view == View.RECALLED && settled && s.heartbeat == 0) {
      State said = s.source(s.view, true, s.task);
      to.accept("the source hands back", said.messages(s.owner, s.answer));
    }
  }

  // ---- the record of the source's job ----------------------------------------------------------

  private void recordActs(State s, BiConsumer<String, State> to) {
    if (s.view == View.MINE
        && s.claimed
        && s.task == Task.NONE
        && !s.recorded
        && !s.recordPending) {
      to.accept("a task is placed", s.record(true, Task.PLACED, false, true));
    }
    if (s.recordPending) {
      // Its own write is answered, or late; an earlier owner's is found once the record is claimed.
      Task task = s.task == Task.PLACED ? Task.RUNNING : s.task;
      to.accept("the record names it", s.record(s.claimed, task, true, false));
      if (s.task == Task.PLACED) {
        to.accept("cancelled before it is recorded", s.record(true, Task.NONE, false, true));
      }
    }
    if (s.claimed && s.recordPending && s.task == Task.NONE) {
      to.accept("a write behind it settles it", s.record(true, Task.NONE, false, false));
    }
    if (!s.claimed) {
      // The claim is a write behind the record's guard: what came late before it is adopted.
      Task found = s.recorded ? Task.RUNNING : Task.NONE;
      to.accept("the record is claimed", s.record(true, found, s.recorded, false));
    }
    if (s.task == Task.RUNNING && s.claimed) {
      to.accept("the task exits", s.record(true, Task.EXITED, s.recorded, s.recordPending));
    }
    if (s.task == Task.EXITED && s.claimed) {
      if (faults.contains(Fault.RECORD_IGNORED)) {
        to.accept("the exit is taken in", s.record(true, Task.NONE, true, false));
      }
      to.accept("the exit is recorded", s.record(true, Task.NONE, false, false));
    }
    if (s.claimed && s.recorded && s.task == Task.NONE) {
      // Recorded late, after the task was taken back: the owner reads it and writes again.
      to.accept("the record is read again", s.record(true, Task.NONE, false, false));
    }
  }
}
