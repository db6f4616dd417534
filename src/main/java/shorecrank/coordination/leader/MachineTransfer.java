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
 * New assignments of machines that one transaction writes together with a change of the shares.
 * Until that transaction ends, no other assignment is written.
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
   * @param otherBytes the size of the transaction's other operations, in bytes
   */
  MachineTransfer(MachineDirectory directory, AssignmentStore store, int otherBytes) {
    this.directory = directory;
    this.store = store;
    this.bytes = otherBytes;
  }

  /**
   * Adds a machine's new assignment, unless the transaction would become too large.
   *
   * @param maxOperations the maximum number of operations of the transfer
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
    if (operations > maxOperations || bytes + addedBytes > StoreMessages.MAX_BATCH_BYTES) {
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

  /** Returns the machines that this transfer assigns. */
  Set<MachineName> machines() {
    return moved.keySet();
  }

  /** Returns the number of operations that this transfer adds to the transaction. */
  int operations() {
    return values.size();
  }

  /**
   * Starts the transfer: from now on no other assignment is written, and heartbeat answers list its
   * machines as not assigned.
   */
  void begin() {
    store.beginTransfer(buckets.keySet());
    moved.keySet().forEach(directory::beginTransfer);
  }

  /** Adds the new assignments to the transaction. */
  void addTo(Transaction transaction) {
    store.addTo(transaction, values);
  }

  /** Records that the transaction was committed at a revision. */
  void onCommitted(Revision revision) {
    store.commitTransfer(buckets, values.keySet(), revision);
    moved.forEach(directory::completeTransfer);
  }

  /**
   * Restores the last assignments after the transaction was refused for good.
   *
   * @param conflict whether a guard failed, so that the keys' revisions have to be read again
   */
  void onRefused(boolean conflict) {
    store.cancelTransfer(buckets.keySet());
    moved.keySet().forEach(directory::cancelTransfer);
    if (conflict) {
      store.readRevisions();
    }
  }
}
