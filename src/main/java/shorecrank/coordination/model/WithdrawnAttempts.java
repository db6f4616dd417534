package shorecrank.coordination.model;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Attempts of one job that were given up before they started, while its record in the state service
 * may still name them. A later owner would start what the record names, so they count for the
 * team's quota until a committed write names them no more.
 */
public final class WithdrawnAttempts {
  /** How many attempts the write of that number is the first not to name. */
  private final TreeMap<Long, Integer> countByWrite = new TreeMap<>();

  private int count;

  /** How many attempts the record may still name. */
  public int count() {
    return count;
  }

  /**
   * Adds an attempt.
   *
   * @param writeSequence the number of the first write that does not name it
   */
  void add(long writeSequence) {
    countByWrite.merge(writeSequence, 1, Integer::sum);
    count++;
  }

  /**
   * Removes the attempts that the record names no more.
   *
   * @param committedSequence the number of the last committed write
   * @return how many were removed
   */
  int settle(long committedSequence) {
    int settled = 0;
    Iterator<Map.Entry<Long, Integer>> writes = countByWrite.entrySet().iterator();
    while (writes.hasNext()) {
      Map.Entry<Long, Integer> write = writes.next();
      if (write.getKey() > committedSequence) {
        break;
      }
      settled += write.getValue();
      writes.remove();
    }
    count -= settled;
    return settled;
  }

  /**
   * Removes all: the record is no more, or has been read anew.
   *
   * @return how many were removed
   */
  int clear() {
    int cleared = count;
    countByWrite.clear();
    count = 0;
    return cleared;
  }
}
