package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** Carries requests to the state service; can be slow, or lose answers to transactions. */
final class StateServiceLink {
  private static final double MEAN_ONE_WAY_MS = 5;
  private static final long MIN_LATE_MS = 2000;
  private static final int LATE_SPREAD_MS = 10_000;
  private static final long MAX_LATE_MS = MIN_LATE_MS + LATE_SPREAD_MS;

  private final Simulation sim;
  private final FaultPeriod faults;
  private final SimulatedStateService store;
  private long lateUntilMs = -1;
  private double lateShare;
  private boolean lateAtOnce;
  private long slowUntilMs = -1;
  private double slowFactor = 1;

  StateServiceLink(Simulation sim, FaultPeriod faults, SimulatedStateService store) {
    this.sim = sim;
    this.faults = faults;
    this.store = store;
  }

  /**
   * Loses the answers to a share of the transactions that are sent within the given time.
   *
   * @param atOnce whether those transactions are applied at once, not seconds later
   */
  void loseAnswers(double share, long durationMs, boolean atOnce) {
    faults.addFault(durationMs + MAX_LATE_MS);
    lateShare = share;
    lateUntilMs = sim.now() + durationMs;
    lateAtOnce = atOnce;
  }

  /** Multiplies the delay of each request and of each answer by a factor, for the given time. */
  void slowDown(double factor, long durationMs) {
    faults.addFault(durationMs);
    slowFactor = factor;
    slowUntilMs = sim.now() + durationMs;
  }

  /** Delivers a request; a transaction may be delivered late, or its answer may be lost. */
  void send(String method, String path, JsonNode body, ReplyHandler reply) {
    boolean mayBeLate = sim.now() < lateUntilMs && path.equals("/multi");
    if (mayBeLate && sim.random().nextDouble() < lateShare) {
      long delayMs = lateAtOnce ? 0 : MIN_LATE_MS + sim.random().nextInt(LATE_SPREAD_MS);
      sim.after(delayMs, () -> store.applyLate(delayMs, body));
    } else if (sim.now() < slowUntilMs) {
      long eachWayMs = (long) (MEAN_ONE_WAY_MS * slowFactor * (0.5 + sim.random().nextDouble()));
      ReplyHandler slowReply =
          (status, answer) -> sim.after(eachWayMs, () -> reply.accept(status, answer));
      sim.after(eachWayMs, () -> store.handle(method, path, body, slowReply));
    } else {
      store.handle(method, path, body, reply);
    }
  }
}
