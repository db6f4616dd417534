package shorecrank.coordination.leader;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedMachine;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedValue;
import shorecrank.protocol.Ids.MachineName;

/**
 * The values that hold the machines of one bucket, by key. Machines are written down many to a key,
 * since a change for each would take the state service's budget of seconds; a bucket has as many
 * keys as the limit on a value asks for.
 *
 * @param bytes about how long they are together
 */
record BucketValues(Map<String, EncodedValue> byKey, int bytes) {
  /** The keys of all buckets begin with this. */
  static final String PREFIX = "hosts/";

  private static final int BUCKET_COUNT = 32;

  /** So much of a value is filled; the rest is for what stands around the machines. */
  private static final double MAX_FILL_RATIO = 0.9;

  private static final int VALUE_OVERHEAD_BYTES = 20;
  private static final int SEPARATOR_BYTES = 1;
  private static final int BYTES_PER_KB = 1024;

  /** The bucket of a machine. */
  static int bucketOf(MachineName name) {
    return Math.floorMod(name.value().hashCode(), BUCKET_COUNT);
  }

  /**
   * Puts a bucket's machines into values. A value that was needed before is written empty: every
   * version reads all that is there.
   *
   * @param knownKeys the keys of all buckets that exist, in their order
   * @param valueKb how many kilobytes the state service takes in a value
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
