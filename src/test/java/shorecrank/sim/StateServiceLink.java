package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** The way of requests to the state service, which may be slow or lose transactions' answers. */
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

  /** That share of transactions gets no answer and is carried out late, or at once. */
  void loseAnswers(double share, long durationMs, boolean atOnce) {
    faults.addFault(durationMs + MAX_LATE_MS);
    lateShare = share;
    lateUntilMs = sim.now() + durationMs;
    lateAtOnce = atOnce;
  }

  /** Every answer takes longer by a factor. */
  void slowDown(double factor, long durationMs) {
    faults.addFault(durationMs);
    slowFactor = factor;
    slowUntilMs = sim.now() + durationMs;
  }

  /** Hands a request over; a transaction may come late, or only its answer be lost. */
  void send(String method, String path, JsonNode body, ReplyHandler reply) {
    boolean mayBeLate = sim.now() < lateUntilMs && path.equals("/multi");
    if (mayBeLate && sim.random().nextDouble() < lateShare) {
      long lateMs = lateAtOnce ? 0 : MIN_LATE_MS + sim.random().nextInt(LATE_SPREAD_MS);
      sim.after(lateMs, () -> store.applyLate(lateMs, body));
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
