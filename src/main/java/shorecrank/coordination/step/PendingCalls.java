package shorecrank.coordination.step;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** The calls that have not been answered yet, by number. */
final class PendingCalls {
  private final Long2ObjectOpenHashMap<PendingCall> calls = new Long2ObjectOpenHashMap<>();
  private long nextNumber = 1;

  /** The target of a call and the handler of its answer. */
  record PendingCall(Output.Target target, AnswerHandler handler) {}

  /** Adds a call and returns its number, which is unique within the process. */
  long add(Output.Target target, AnswerHandler handler) {
    long number = nextNumber++;
    calls.put(number, new PendingCall(target, handler));
    return number;
  }

  /** Removes and returns a call; null if it has already been answered. */
  PendingCall remove(long number) {
    return calls.remove(number);
  }
}
