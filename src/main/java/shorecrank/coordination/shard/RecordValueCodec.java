package shorecrank.coordination.shard;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.JobRecord;

/** Encodes job records in the form that the feature level and their size ask for. */
final class RecordValueCodec {
  private RecordValueCodec() {}

  /** The form of a record's value. */
  enum Form {
    /** The form that every version reads. */
    PLAIN,
    /** The shortest form that needs no feature level. */
    COMPACT,
    /** The form that only a raised feature level allows. */
    DENSE
  }

  /**
   * A record in the form in which it is written.
   *
   * @param bytes the size of the value
   * @param boundBytes what must fit into a value: where the form depends on the feature level, the
   *     size of the earlier form that it is put back into when the level falls
   */
  record EncodedRecord(ObjectNode value, int bytes, int boundBytes) {
    /** Adds the write of the value to a transaction. */
    void addTo(Transaction transaction, String key) {
      transaction.write(key, value);
    }
  }

  /** Encodes a record. */
  static EncodedRecord encode(JobRecord record, Form form) {
    ObjectNode value =
        switch (form) {
          case PLAIN -> record.write();
          case COMPACT -> record.writeCompact();
          case DENSE -> record.writeDense();
        };
    int bytes = Json.bytes(value).length;
    boolean isBoundByEarlierForm = form == Form.DENSE && record.isLarge();
    int boundBytes = isBoundByEarlierForm ? Json.bytes(record.writeCompact()).length : bytes;
    return new EncodedRecord(value, bytes, boundBytes);
  }
}
