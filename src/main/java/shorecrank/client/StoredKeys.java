package shorecrank.client;

import java.util.List;
import java.util.function.Consumer;
import shorecrank.client.ControllerClient.Answer;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.OperatorRequestCodec;
import shorecrank.protocol.StoreCodec;
import shorecrank.protocol.StoreMessages.Entry;

/** Reads the current keys of the state service through a controller. */
final class StoredKeys {
  private final ControllerClient client;

  StoredKeys(ControllerClient client) {
    this.client = client;
  }

  /**
   * Passes all keys with a prefix to a consumer, sorted by key, reading one page after another.
   *
   * @throws NoAnswerException if a controller refuses to read a page, or none answers
   */
  void forEach(String prefix, Consumer<Entry> consumer) throws NoAnswerException {
    String after = "";
    while (true) {
      Answer answer =
          client.post(
              OperatorPaths.ROLLOUT_KEYS, OperatorRequestCodec.writeKeysQuery(prefix, after));
      if (!answer.isOk()) {
        throw new NoAnswerException(answer.reason());
      }
      List<Entry> page = StoreCodec.readEntries(answer.body());
      page.forEach(consumer);
      if (!StoreCodec.hasMore(answer.body()) || page.isEmpty()) {
        return;
      }
      after = page.get(page.size() - 1).key();
    }
  }
}
