package shorecrank.coordination.leader;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedMachine;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedValue;
import shorecrank.protocol.Ids.MachineName;

/**
 * The stored values of one bucket of machines, by key. One key holds many machines, because one
 * change per machine would use up the state service's write rate for seconds; a bucket takes as
 * many keys as the size limit of a value requires.
 *
 * @param bytes the approximate total size of the values, in bytes
 */
record BucketValues(Map<String, EncodedValue> byKey, int bytes) {
  /** The prefix of the keys of all buckets. */
  static final String PREFIX = "hosts/";

  private static final int BUCKET_COUNT = 32;

  /**
   * The part of the maximum value size that is filled; the rest is left for the JSON around the
   * machines.
   */
  private static final double MAX_FILL_RATIO = 0.9;

  private static final int VALUE_OVERHEAD_BYTES = 20;
  private static final int SEPARATOR_BYTES = 1;
  private static final int BYTES_PER_KB = 1024;

  /** Returns the number of a machine's bucket. */
  static int bucketOf(MachineName name) {
    return Math.floorMod(name.value().hashCode(), BUCKET_COUNT);
  }

  /**
   * Encodes a bucket's machines into values. A key that an earlier write needed and this one does
   * not is written with an empty value, because every version reads all keys that exist.
   *
   * @param knownKeys the keys of all buckets that exist, in ascending order
   * @param valueKb the maximum size of a value, in KiB
   */
  static BucketValues of(
      int bucket, List<StoredAssignment> machines, Collection<String> knownKeys, double valueKb) {
    double maxBytes = valueKb * BYTES_PER_KB * MAX_FILL_RATIO;
    String firstKey = PREFIX + bucket;
    Map<String, EncodedValue> byKey = new TreeMap<>();
    EncodedValue value = new EncodedValue();
    byKey.put(firstKey, value);
    int closedBytes = 0;
    int bytes = VALUE_OVERHEAD_BYTES;
    for (StoredAssignment assignment : machines) {
      EncodedMachine machine = MachineRecordCodec.encode(assignment);
      int addedBytes = machine.bytes() + SEPARATOR_BYTES;
      if (bytes + addedBytes > maxBytes && !value.isEmpty()) {
        value = new EncodedValue();
        byKey.put(firstKey + "." + byKey.size(), value);
        closedBytes += bytes;
        bytes = VALUE_OVERHEAD_BYTES;
      }
      value.add(machine);
      bytes += addedBytes;
    }
    for (String knownKey : knownKeys) {
      if (knownKey.startsWith(firstKey + ".") && !byKey.containsKey(knownKey)) {
        byKey.put(knownKey, new EncodedValue());
      }
    }
    return new BucketValues(byKey, closedBytes + bytes);
  }
}
