package shorecrank.rollout;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import shorecrank.config.Settings;

/** Computes a digest of the settings that must be the same on all controllers. */
public final class SettingsDigest {
  private SettingsDigest() {}

  /** Returns the digest as 32 hexadecimal digits; equal shared settings have equal digests. */
  public static String of(Settings settings) {
    String shared =
        "parts=%d lease_ms=%d leader_ttl_ms=%d grace_ms=%d"
            .formatted(
                settings.shards(), settings.leaseMs(), settings.leaderTtlMs(), settings.graceMs());
    long[] hash = MurmurHash3.hash128x64(shared.getBytes(StandardCharsets.UTF_8));
    return "%016x%016x".formatted(hash[0], hash[1]);
  }
}
