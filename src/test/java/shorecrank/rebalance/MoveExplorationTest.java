package shorecrank.rebalance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.rebalance.MoveModel.Fault;

/**
 * Explores all states of {@link MoveModel}, which cover every order of a move's steps, late and
 * lost writes and answers, delayed heartbeats, up to two changes of the leader and one of the
 * source's owner. Guards against two owners commanding one machine, and shows that the rules are
 * violated if any guard of the protocol is missing.
 */
class MoveExplorationTest {
  private static final int MAX_STATES = 3_000_000;

  private static int stateCount;
  private static final Map<MovePhase, Integer> STATES_BY_PHASE = new TreeMap<>();

  /** A state, with the step before it and the event that led from there to this state. */
  private record Step(ModelState state, Step previous, String event) {}

  /**
   * Explores all states breadth-first, and returns the first violated rule followed by the events
   * that led to it; empty if no rule is violated.
   */
  private static List<String> explore(Set<Fault> faults) {
    MoveModel model = new MoveModel(faults);
    ArrayDeque<Step> queue = new ArrayDeque<>();
    Set<ModelState> seen = new HashSet<>();
    queue.add(new Step(ModelState.INITIAL, null, "begin"));
    seen.add(ModelState.INITIAL);
    STATES_BY_PHASE.clear();
    while (!queue.isEmpty()) {
      Step step = queue.poll();
      String violation = model.violatedRule(step.state());
      if (!violation.isEmpty()) {
        List<String> trace = new ArrayList<>(List.of(violation));
        for (Step past = step; past != null; past = past.previous()) {
          trace.add(1, past.event());
        }
        return trace;
      }
      if (step.state().service().phase() != null) {
        STATES_BY_PHASE.merge(step.state().service().phase(), 1, Integer::sum);
      }
      model.forEachSuccessor(
          step.state(),
          (event, next) -> {
            if (seen.add(next)) {
              queue.add(new Step(next, step, event));
            }
          });
      assertTrue(seen.size() < MAX_STATES, "too many states");
    }
    stateCount = seen.size();
    return List.of();
  }

  @Test
  void noOrderOfEventsViolatesARule() {
    assertEquals(List.of(), explore(Set.of()));
    System.out.printf("move explored: %d states, by phase %s%n", stateCount, STATES_BY_PHASE);
    // Every phase was reached, so the exploration was not cut short.
    assertEquals(Set.of(MovePhase.values()), STATES_BY_PHASE.keySet());
  }

  @Test
  void removingAnyGuardViolatesARule() {
    for (Fault fault : Fault.values()) {
      List<String> trace = explore(Set.of(fault));
      assertTrue(!trace.isEmpty(), "no rule is violated with fault " + fault);
      System.out.printf("fault %s: %s, after %d events%n", fault, trace.get(0), trace.size() - 2);
    }
  }
}
