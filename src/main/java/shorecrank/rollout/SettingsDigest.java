package shorecrank.rollout;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import shorecrank.config.Settings;

/** A digest of the settings on which controllers' conclusions about each other rest. */
public final class SettingsDigest {
  private SettingsDigest() {}

  /** The same for all controllers whose shared settings are the same. */
  public static String of(Settings tuning) {
    String shared =
        "parts=%d lease_ms=%d leader_ttl_ms=%d grace_ms=%d"
            .formatted(tuning.shards(), tuning.leaseMs(), tuning.leaderTtlMs(), tuning.graceMs());
    long[] hash = MurmurHash3.hash128x64(shared.getBytes(StandardCharsets.UTF_8));
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
