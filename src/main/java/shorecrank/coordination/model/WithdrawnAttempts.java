package shorecrank.coordination.model;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the attempts of one job that were withdrawn before they started, as long as the job's
 * record in the state service may still name them. A later shard owner would start every attempt
 * that the record names, so these attempts count against the team's quota until a write without
 * them is committed.
 */
public final class WithdrawnAttempts {
  /** Numbers of attempts, by the sequence number of the first write that does not name them. */
  private final TreeMap<Long, Integer> countByWrite = new TreeMap<>();

  private int count;

  /** Returns how many withdrawn attempts the record may still name. */
  public int count() {
    return count;
  }

  /**
   * Adds a withdrawn attempt.
   *
   * @param writeSequence the sequence number of the first write that does not name the attempt
   */
  void add(long writeSequence) {
    countByWrite.merge(writeSequence, 1, Integer::sum);
    count++;
  }

  /**
   * Removes the attempts that the record no longer names.
   *
   * @param committedSequence the sequence number of the last committed write
   * @return how many were removed
   */
  int removeSettled(long committedSequence) {
    int removed = 0;
    Iterator<Map.Entry<Long, Integer>> writes = countByWrite.entrySet().iterator();
    while (writes.hasNext()) {
      Map.Entry<Long, Integer> write = writes.next();
      if (write.getKey() > committedSequence) {
        break;
      }
      removed += write.getValue();
      writes.remove();
    }
    count -= removed;
    return removed;
  }

  /**
   * Removes all attempts, because the record was deleted or has been read again.
   *
   * @return how many were removed
   */
  int clear() {
    int removed = count;
    countByWrite.clear();
    count = 0;
    return removed;
  }
}
