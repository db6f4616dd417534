package shorecrank.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** The simulated clock, the scheduled events, and the run's random numbers. */
final class Simulation {
  /** An event; events of the same time run in the order in which they were scheduled. */
  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long scheduled;
  private long nowMs;

  Simulation(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the simulated time, in milliseconds since the run began. */
  long now() {
    return nowMs;
  }

  /** Returns the generator for all random choices of the run. */
  SplittableRandom random() {
    return random;
  }

  /**
   * Schedules an event.
   *
   * @param ms delay from now, in milliseconds
   */
  void after(long ms, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, ms), scheduled++, action));
  }

  /**
   * Schedules an event.
   *
   * @param ms simulated time of the event; it runs at the current time if that is later
   */
  void at(long ms, Runnable action) {
    events.add(new Event(Math.max(nowMs, ms), scheduled++, action));
  }

  /** Runs all events that are due until a time, and advances the clock to that time. */
  void runUntil(long ms) {
    while (!events.isEmpty() && events.peek().atMs <= ms) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = ms;
  }
}
