package shorecrank.rebalance;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import shorecrank.leadership.LeaderKeyCodec;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.SharesState;

/** The stored form of the shares' key. */
final class SharesStateCodec implements LeaderKeyCodec<SharesState> {
  @Override
  public String key() {
    return ShareMessages.KEY;
  }

  @Override
  public SharesState initial() {
    return SharesState.INITIAL;
  }

  @Override
  public Optional<SharesState> read(JsonNode stored) {
    return Optional.ofNullable(ShareMessages.readState(stored));
  }

  @Override
  public JsonNode write(SharesState value) {
    return ShareMessages.write(value);
  }
}
