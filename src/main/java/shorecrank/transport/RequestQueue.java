package shorecrank.transport;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * The requests that a controller has received and not yet processed. A controller that is behind
 * serves other controllers and users before workers' heartbeats, and drops requests whose senders
 * have stopped waiting.
 *
 * <p>While heartbeats have to wait for long, the newest is served first: the oldest would be
 * answered just too late, one after the other, and every worker would turn elsewhere and come back.
 *
 * @param <T> the type of a request
 */
public final class RequestQueue<T> {
  /** From this age of the oldest heartbeat on, the newest one is served first. */
  private static final int LONG_WAIT_MS = 1000;

  /**
   * After so many other requests in a row, one heartbeat is served, so that workers' leases are
   * renewed also under a flood of requests from users.
   */
  private static final int MAX_OTHERS_IN_A_ROW = 8;

  /** A request and when it was received. */
  private record Waiting<T>(T request, long receivedAtMs) {}

  private final Map<RequestClass, ArrayDeque<Waiting<T>>> waiting =
      new EnumMap<>(RequestClass.class);
  private final Predicate<T> isAbandoned;
  private final BiConsumer<RequestClass, T> onDropped;
  private final ToIntFunction<T> bytesOf;
  private final Map<RequestClass, Long> waitingBytes = new EnumMap<>(RequestClass.class);
  private int size;
  private int othersInARow;

  /**
   * Creates an empty queue.
   *
   * @param isAbandoned whether the sender is known to be gone
   * @param onDropped receives the requests that are dropped
   * @param bytesOf returns how many bytes a request keeps in memory
   */
  public RequestQueue(
      Predicate<T> isAbandoned, BiConsumer<RequestClass, T> onDropped, ToIntFunction<T> bytesOf) {
    this.isAbandoned = isAbandoned;
    this.onDropped = onDropped;
    this.bytesOf = bytesOf;
    for (RequestClass requestClass : RequestClass.values()) {
      waiting.put(requestClass, new ArrayDeque<>());
      waitingBytes.put(requestClass, 0L);
    }
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return size;
  }

  /** Returns how many bytes the waiting requests of a class keep in memory. */
  public long waitingBytes(RequestClass requestClass) {
    return waitingBytes.get(requestClass);
  }

  /** Reports whether heartbeats wait for long. */
  public boolean isOverloaded(long nowMs) {
    ArrayDeque<Waiting<T>> heartbeats = waiting.get(RequestClass.HEARTBEAT);
    return !heartbeats.isEmpty() && isLongWait(heartbeats, nowMs);
  }

  private static <T> boolean isLongWait(ArrayDeque<Waiting<T>> queue, long nowMs) {
    return nowMs - queue.peekFirst().receivedAtMs() >= LONG_WAIT_MS;
  }

  /** Adds a request that was received now. */
  public void add(RequestClass requestClass, T request, long nowMs) {
    waiting.get(requestClass).addLast(new Waiting<>(request, nowMs));
    waitingBytes.merge(requestClass, (long) bytesOf.applyAsInt(request), Long::sum);
    size++;
  }

  /** Removes and returns the request to process next; null if none is left. */
  public T poll(long nowMs) {
    if (othersInARow >= MAX_OTHERS_IN_A_ROW) {
      othersInARow = 0;
      T heartbeat = poll(RequestClass.HEARTBEAT, nowMs);
      if (heartbeat != null) {
        return heartbeat;
      }
    }
    for (RequestClass requestClass : RequestClass.values()) {
      T request = poll(requestClass, nowMs);
      if (request != null) {
        othersInARow = requestClass == RequestClass.HEARTBEAT ? 0 : othersInARow + 1;
        return request;
      }
    }
    return null;
  }

  private T poll(RequestClass requestClass, long nowMs) {
    ArrayDeque<Waiting<T>> queue = waiting.get(requestClass);
    dropExpired(requestClass, queue, nowMs);
    while (!queue.isEmpty()) {
      T request = takeNext(requestClass, queue, nowMs).request();
      onTaken(requestClass, request);
      if (!isAbandoned.test(request)) {
        return request;
      }
      onDropped.accept(requestClass, request);
    }
    return null;
  }

  private void dropExpired(RequestClass requestClass, ArrayDeque<Waiting<T>> queue, long nowMs) {
    while (!queue.isEmpty()
        && nowMs - queue.peekFirst().receivedAtMs() >= requestClass.patienceMs()) {
      T expired = queue.pollFirst().request();
      onTaken(requestClass, expired);
      onDropped.accept(requestClass, expired);
    }
  }

  private void onTaken(RequestClass requestClass, T request) {
    waitingBytes.merge(requestClass, (long) -bytesOf.applyAsInt(request), Long::sum);
    size--;
  }

  private static <T> Waiting<T> takeNext(
      RequestClass requestClass, ArrayDeque<Waiting<T>> queue, long nowMs) {
    boolean isNewestFirst = requestClass == RequestClass.HEARTBEAT && isLongWait(queue, nowMs);
    return isNewestFirst ? queue.pollLast() : queue.pollFirst();
  }
}
