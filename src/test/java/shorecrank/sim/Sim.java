package shorecrank.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulated time and chance. */
final class Sim {
  private record Event(long at, long order, Runnable what) {}

  final SplittableRandom random;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long order;
  long now;

  Sim(long seed) {
    random = new SplittableRandom(seed);
  }

  void after(long ms, Runnable what) {
    queue.add(new Event(now + Math.max(0, ms), order++, what));
  }

  void at(long ms, Runnable what) {
    queue.add(new Event(Math.max(now, ms), order++, what));
  }

  void run(long until) {
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Event e = queue.poll();
      now = e.at;
      e.what.run();
    }
    now = until;
  }
}
