package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.leader.MachineRecordCodec.EncodedValue;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * New assignments of machines that are written together with a change of the shares. Until that is
 * over no other assignment is written.
 */
final class MachineTransfer {
  private final MachineDirectory directory;
  private final AssignmentStore store;
  private final Map<MachineName, NextAssignment> moved = new TreeMap<>();
  private final Map<String, EncodedValue> values = new TreeMap<>();
  private final Map<Integer, List<AssignedMachine>> buckets = new TreeMap<>();
  private int bytes;

  /**
   * Creates a transfer without machines.
   *
   * @param otherBytes the length of what else the transaction holds
   */
  MachineTransfer(MachineDirectory directory, AssignmentStore store, int otherBytes) {
    this.directory = directory;
    this.store = store;
    this.bytes = otherBytes;
  }

  /**
   * Adds a machine's new assignment, unless the transaction would be too large then.
   *
   * @param maxOperations how many changes the transfer may have
   */
  void addIfItFits(MachineName name, NextAssignment next, int maxOperations) {
    int bucket = BucketValues.bucketOf(name);
    Map<MachineName, NextAssignment> movedWithThis = new TreeMap<>(moved);
    movedWithThis.put(name, next);
    List<AssignedMachine> inBucket = directory.machinesIn(bucket);
    List<StoredAssignment> assignments = new ArrayList<>(inBucket.size());
    for (AssignedMachine machine : inBucket) {
      assignments.add(assignmentAfter(machine, movedWithThis));
    }
    BucketValues written = store.values(bucket, assignments);
    boolean isNewBucket = !buckets.containsKey(bucket);
    int operations = values.size() + (isNewBucket ? written.byKey().size() : 0);
    int addedBytes = isNewBucket ? written.bytes() : 0;
    if (operations > maxOperations || bytes + addedBytes > StoreMessages.TXN_FILL_BYTES) {
      return;
    }
    bytes += addedBytes;
    moved.put(name, next);
    buckets.put(bucket, inBucket);
    values.putAll(written.byKey());
  }

  private static StoredAssignment assignmentAfter(
      AssignedMachine machine, Map<MachineName, NextAssignment> moved) {
    NextAssignment next = moved.get(machine.name());
    return next == null
        ? machine.assignment()
        : new StoredAssignment(machine.info(), next.shard(), next.epoch());
  }

  boolean isEmpty() {
    return moved.isEmpty();
  }

  /** The machines that it assigns. */
  Set<MachineName> machines() {
    return moved.keySet();
  }

  /** How many changes it adds to the transaction. */
  int operations() {
    return values.size();
  }

  /** From now on no other assignment is written, and owners know the machines no more. */
  void begin() {
    store.beginTransfer(buckets.keySet());
    moved.keySet().forEach(directory::beginTransfer);
  }

  /** Adds the assignments to the transaction. */
  void addTo(Transaction transaction) {
    store.addTo(transaction, values);
  }

  /** The transaction was carried out, at that revision. */
  void committed(Revision revision) {
    store.commitTransfer(buckets, values.keySet(), revision);
    moved.forEach(directory::completeTransfer);
  }

  /**
   * The transaction was not carried out, and never will be.
   *
   * @param conflict whether something else stands there than was written last
   */
  void refused(boolean conflict) {
    store.cancelTransfer(buckets.keySet());
    moved.keySet().forEach(directory::cancelTransfer);
    if (conflict) {
      store.readRevisions();
    }
  }
}
