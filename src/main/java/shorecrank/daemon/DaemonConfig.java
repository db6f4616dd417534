package shorecrank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.RolloutSettings;
import shorecrank.rollout.RolloutSetup;

/**
 * The complete configuration of a controller process.
 *
 * @param node the platform's configuration of this controller
 * @param settings the operators' settings, or the defaults if there is no file of settings
 * @param rollout the setup of rollouts, or null if rollouts are not enabled
 * @param shares the settings of shares, or null if shares are not enabled
 */
record DaemonConfig(
    NodeConfig node, Settings settings, RolloutSetup rollout, ShareSettings shares) {
  private static final double BYTES_PER_MB = 1024 * 1024;

  /** Reads a configuration file and parses it into an object of type {@code T}. */
  private interface Reader<T> {
    T read(Path file) throws IOException, InvalidConfigException;
  }

  /**
   * Loads all files that the command line names.
   *
   * @param version the version of this build
   * @throws StartupException if an option is missing or a file is invalid; the message names the
   *     first such file
   */
  static DaemonConfig load(DaemonOptions options, String version) throws StartupException {
    Path nodeFile = options.config();
    Optional<Path> settingsFile = options.settings();
    Optional<Path> rolloutFile = options.rollout();
    Optional<Path> sharesFile = options.shares();
    if (sharesFile.isPresent() && rolloutFile.isEmpty()) {
      throw new StartupException("--shares needs --rollout FILE");
    }
    // The platform's limit holds for the whole process; the state of the controller is on the heap.
    NodeConfig node =
        read(nodeFile, file -> NodeConfigFile.read(Files.readAllBytes(file)))
            .withMaxMemoryMb(Runtime.getRuntime().maxMemory() / BYTES_PER_MB);
    Settings settings = SettingsFile.defaults();
    if (settingsFile.isPresent()) {
      settings = read(settingsFile.get(), file -> SettingsFile.read(Files.readString(file)));
    }
    RolloutSetup rollout = null;
    if (rolloutFile.isPresent()) {
      RolloutSettings rolloutSettings =
          read(rolloutFile.get(), file -> RolloutSettings.read(Files.readString(file)));
      rollout = RolloutSetup.of(rolloutSettings, version, settings, sharesFile.isPresent());
    }
    ShareSettings shares = null;
    if (sharesFile.isPresent()) {
      int shards = settings.shards();
      shares =
          read(
              sharesFile.get(),
              file -> {
                ShareSettings shareSettings = ShareSettings.read(Files.readString(file));
                shareSettings.check(node, shards);
                return shareSettings;
              });
    }
    return new DaemonConfig(node, settings, rollout, shares);
  }

  private static <T> T read(Path file, Reader<T> reader) throws StartupException {
    try {
      return reader.read(file);
    } catch (InvalidConfigException e) {
      throw new StartupException(file + ": " + e.getMessage(), e);
    } catch (IOException e) {
      throw new StartupException(file + ": can't be read", e);
    }
  }
}
