package shorecrank.coordination.shard;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.JobRecord;

/** Encodes job records in the form that the feature level and the record's size require. */
final class RecordValueCodec {
  private RecordValueCodec() {}

  /** Form of a record's value. */
  enum Form {
    /** Readable by every version. */
    PLAIN,
    /** The shortest form that needs no feature level. */
    COMPACT,
    /** Allowed only by a raised feature level. */
    DENSE
  }

  /**
   * An encoded record.
   *
   * @param bytes size of the value
   * @param boundBytes size that must fit into a value: that of the earlier form to which a record
   *     in the dense form is converted back when the feature level is lowered, otherwise that of
   *     the value
   */
  record EncodedRecord(ObjectNode value, int bytes, int boundBytes) {
    /** Adds the write of the value to a transaction. */
    void addTo(Transaction transaction, String key) {
      transaction.write(key, value);
    }
  }

  /** Encodes a record in the given form. */
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
