package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import shorecrank.leadership.LeaderKeyCodec;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.RolloutState;

/** The stored form of the feature level's key. */
final class RolloutStateCodec implements LeaderKeyCodec<RolloutState> {
  @Override
  public String key() {
    return RolloutMessages.KEY;
  }

  @Override
  public RolloutState initial() {
    return RolloutState.INITIAL;
  }

  @Override
  public Optional<RolloutState> read(JsonNode stored) {
    return Optional.ofNullable(RolloutMessages.readState(stored));
  }

  @Override
  public JsonNode write(RolloutState value) {
    return RolloutMessages.write(value);
  }
}
