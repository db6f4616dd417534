package shorecrank.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulated time, the events that are due, and the run's random numbers. */
final class Simulation {
  /** Events of the same time happen in the order in which they were scheduled. */
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

  /** Milliseconds since the run began. */
  long now() {
    return nowMs;
  }

  /** What all random choices of a run are drawn from. */
  SplittableRandom random() {
    return random;
  }

  /** Plans an event so many milliseconds from now. */
  void after(long ms, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, ms), scheduled++, action));
  }

  /** Plans an event for a time; for now if that is over. */
  void at(long ms, Runnable action) {
    events.add(new Event(Math.max(nowMs, ms), scheduled++, action));
  }

  /** Lets all events happen that are due until a time, which is the present then. */
  void runUntil(long ms) {
    while (!events.isEmpty() && events.peek().atMs <= ms) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = ms;
  }
}
