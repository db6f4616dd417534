package shorecrank.transport;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agrona.concurrent.NanoClock;

/**
 * The requests of one server that have been received in part. They may hold a limited number of
 * bytes together, and each of them has to become whole within a limited time. A request over a
 * limit is given up.
 *
 * <p>When there are too many bytes, the request that has held the most of them for the longest, in
 * bytes times seconds, is given up first. So a request that arrives at once is not given up for
 * those that are held open, whatever their number.
 */
final class UnfinishedRequests {
  /** Why a request is given up. */
  enum Reason {
    /** It was not whole in time. */
    TOO_SLOW,
    /** The unfinished requests hold too many bytes. */
    TOO_MANY_BYTES
  }

  /** The connection that receives a request. */
  interface Sender {
    /**
     * Called when the request is given up and no longer counted.
     *
     * @param bytes the number of bytes received
     * @param ageNanos the time since the first byte
     */
    void onGivenUp(Reason reason, long bytes, long ageNanos);
  }

  /** Added to a request's age, so that of requests that have just begun the largest is chosen. */
  private static final long MIN_AGE_NANOS = 1_000_000;

  /** What has been received of a request. */
  private static final class Received {
    private final long startedNanos;
    private long bytes;

    Received(long startedNanos) {
      this.startedNanos = startedNanos;
    }

    double byteNanos(long nowNanos) {
      return (double) bytes * (nowNanos - startedNanos + MIN_AGE_NANOS);
    }
  }

  private final long maxBytes;
  private final long maxAgeNanos;
  private final NanoClock clock;

  /** The unfinished requests by their connection, in the order in which they began. */
  private final Map<Sender, Received> requests = new LinkedHashMap<>();

  private long totalBytes;

  /**
   * Creates a register without requests.
   *
   * @param maxBytes how many bytes all unfinished requests may hold together
   * @param maxAgeNanos within what time of its first byte a request has to be whole
   */
  UnfinishedRequests(long maxBytes, long maxAgeNanos, NanoClock clock) {
    this.maxBytes = maxBytes;
    this.maxAgeNanos = maxAgeNanos;
    this.clock = clock;
  }

  /** Returns the number of unfinished requests. */
  int size() {
    return requests.size();
  }

  /** Returns the number of bytes that the unfinished requests hold. */
  long totalBytes() {
    return totalBytes;
  }

  /**
   * Counts bytes of a connection's current request, which begins with the first of them. This
   * request or others may be given up.
   */
  void onReceived(Sender sender, int bytes) {
    requests.computeIfAbsent(sender, key -> new Received(clock.nanoTime())).bytes += bytes;
    totalBytes += bytes;
    while (totalBytes > maxBytes) {
      giveUp(findLargest(), Reason.TOO_MANY_BYTES);
    }
  }

  /** Reports whether a request of the connection has begun, and is neither whole nor given up. */
  boolean contains(Sender sender) {
    return requests.containsKey(sender);
  }

  /** Called when a connection's request is whole, or the connection is closed. */
  void remove(Sender sender) {
    Received received = requests.remove(sender);
    if (received != null) {
      totalBytes -= received.bytes;
    }
  }

  /** Gives up the requests that are not whole in time. */
  void giveUpSlow() {
    long nowNanos = clock.nanoTime();
    List<Sender> slow = new ArrayList<>();
    for (Map.Entry<Sender, Received> request : requests.entrySet()) {
      if (nowNanos - request.getValue().startedNanos < maxAgeNanos) {
        break;
      }
      slow.add(request.getKey());
    }
    slow.forEach(sender -> giveUp(sender, Reason.TOO_SLOW));
  }

  private Sender findLargest() {
    long nowNanos = clock.nanoTime();
    Sender largest = null;
    double most = -1;
    for (Map.Entry<Sender, Received> request : requests.entrySet()) {
      double byteNanos = request.getValue().byteNanos(nowNanos);
      if (byteNanos > most) {
        most = byteNanos;
        largest = request.getKey();
      }
    }
    return largest;
  }

  private void giveUp(Sender sender, Reason reason) {
    Received received = requests.get(sender);
    remove(sender);
    sender.onGivenUp(reason, received.bytes, clock.nanoTime() - received.startedNanos);
  }
}
