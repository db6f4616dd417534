package shorecrank.coordination.step;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** The calls without an answer so far, by their numbers. */
final class PendingCalls {
  private final Long2ObjectOpenHashMap<PendingCall> calls = new Long2ObjectOpenHashMap<>();
  private long nextNumber = 1;

  /** A call and what to do with its answer. */
  record PendingCall(Output.Target target, AnswerHandler then) {}

  /** Adds a call and gives it a number that no earlier one had. */
  long add(Output.Target target, AnswerHandler then) {
    long number = nextNumber++;
    calls.put(number, new PendingCall(target, then));
    return number;
  }

  /** Removes a call; null if it was answered before. */
  PendingCall remove(long number) {
    return calls.remove(number);
  }
}
