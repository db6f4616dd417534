package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.JobRecord;

/**
 * Recognizes stored values in the form that a feature introduced, and converts them to forms that
 * versions below the feature's level read.
 */
abstract class DowngradeCodec {
  /**
   * A stored value and its encodings in earlier forms. Writing one is guarded by the revision at
   * which the value was read, so a concurrent change of the value is not overwritten.
   *
   * @param key the value's key
   * @param revision the revision at which the value was read
   * @param forms equivalent encodings in earlier forms, the preferred one first; empty if the value
   *     could not be decoded
   * @param formIndex index in {@code forms} of the encoding to write next
   */
  record Rewrite(String key, Revision revision, List<? extends JsonNode> forms, int formIndex) {
    /** Returns the size in bytes of the encoding to write next. */
    int bytes() {
      return Json.bytes(forms.get(formIndex)).length;
    }

    /** Adds the write and its guard to a transaction. */
    void addTo(Transaction transaction) {
      transaction.guard(key, revision).write(key, forms.get(formIndex));
    }

    /**
     * Reports whether there is another form to try if the current one is too large for the state
     * service.
     */
    boolean hasNextForm() {
      return formIndex + 1 < forms.size();
    }

    /** Returns the rewrite of the same value in the next form. */
    Rewrite withNextForm() {
      return new Rewrite(key, revision, forms, formIndex + 1);
    }

    /** Reports whether the stored value could be decoded. */
    boolean isReadable() {
      return !forms.isEmpty();
    }
  }

  /** Reports whether a stored value is in the form that the feature introduced. */
  abstract boolean isNewerForm(Entry entry);

  /**
   * Returns the rewrite of a value; {@link Rewrite#isReadable} is false if it cannot be decoded.
   */
  final Rewrite rewrite(Entry entry) {
    return new Rewrite(entry.key(), entry.revision(), earlierForms(entry.value()), 0);
  }

  /**
   * Returns the encodings of a value in earlier forms, the preferred one first; empty if it cannot
   * be decoded.
   */
  abstract List<? extends JsonNode> earlierForms(JsonNode stored);

  /**
   * Converts job records from the dense form to the plain one, or to the compact one where the
   * plain one is too large.
   */
  static final class JobRecordDowngradeCodec extends DowngradeCodec {
    @Override
    boolean isNewerForm(Entry entry) {
      return JobRecord.isDense(entry.value());
    }

    @Override
    List<? extends JsonNode> earlierForms(JsonNode stored) {
      JobRecord record = JobRecord.read(stored);
      return record == null ? List.of() : List.of(record.write(), record.writeCompact());
    }
  }

  /**
   * Removes moves and the number of shards from the value of the shares key. Versions below the
   * feature's level know neither, and may change the number of shards. Teams' shares, which
   * operators have set, are kept.
   */
  static final class SharesDowngradeCodec extends DowngradeCodec {
    @Override
    boolean isNewerForm(Entry entry) {
      SharesState state = ShareStateCodec.read(entry.value()).orElse(null);
      return state != null && (!state.active().isEmpty() || state.shards() > 0);
    }

    @Override
    List<? extends JsonNode> earlierForms(JsonNode stored) {
      SharesState state = ShareStateCodec.read(stored).orElse(null);
      return state == null
          ? List.of()
          : List.of(ShareStateCodec.write(state.withActiveMoves(List.of()).withShards(0)));
    }
  }
}
