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

/** Finds values in a feature's stored form, and puts them into the forms of the level below. */
abstract class DowngradeCodec {
  /**
   * A value that is to be written in an earlier form, behind the revision at which it was read.
   *
   * @param forms the earlier forms, the preferred one first; all mean the same
   * @param formIndex which of them is written next
   */
  record Rewrite(String key, Revision revision, List<? extends JsonNode> forms, int formIndex) {
    /** The size of the form that is written next. */
    int bytes() {
      return Json.bytes(forms.get(formIndex)).length;
    }

    /** Adds guard and write to a transaction. */
    void addTo(Transaction transaction) {
      transaction.guard(key, revision).write(key, forms.get(formIndex));
    }

    /** Whether there is another form to be tried where this one is too large. */
    boolean hasNextForm() {
      return formIndex + 1 < forms.size();
    }

    /** The same value in the next form. */
    Rewrite withNextForm() {
      return new Rewrite(key, revision, forms, formIndex + 1);
    }

    /** Whether the value could be read at all. */
    boolean isReadable() {
      return !forms.isEmpty();
    }
  }

  /** Whether a stored value is in the feature's form. */
  abstract boolean isNewerForm(Entry entry);

  /** The rewriting of a value in the feature's form; not possible if the value can't be read. */
  final Rewrite rewrite(Entry entry) {
    return new Rewrite(entry.key(), entry.revision(), earlierForms(entry.value()), 0);
  }

  /** Earlier forms of a value, the preferred one first; none if it can't be read. */
  abstract List<? extends JsonNode> earlierForms(JsonNode stored);

  /** Puts dense job records back into the forms that all versions read. */
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
   * Takes moves out of the shares' key. They end with the level, and the number of shards may then
   * be changed by versions that know nothing of it; what operators have set stays.
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
