package shorecrank.daemon;

import java.nio.file.Path;
import java.util.Optional;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParseResult;

/** The options on the daemon's command line. */
final class DaemonOptions {
  private static final String CONFIG = "--config";
  private static final String SETTINGS = "--settings";
  private static final String ROLLOUT = "--rollout";
  private static final String SHARES = "--shares";
  private static final String TRAINING = "--rehearse";

  private final ParseResult parsed;

  DaemonOptions(ParseResult parsed) {
    this.parsed = parsed;
  }

  /**
   * Returns the specification of the daemon's command line.
   *
   * @param version the version of this build, which {@code --version} prints
   */
  static CommandSpec commandSpec(String version) {
    return CommandSpec.create()
        .name("shorecrank")
        .version("shorecrank " + version)
        .usageMessage(
            new UsageMessageSpec()
                .description("Runs one controller of the cluster scheduler until killed.")
                .footer(
                    "LOG_LEVEL sets the log on standard error: error, info or debug.",
                    "",
                    "Commands for operators: rollout status|finalize|downgrade|abort,",
                    "archive create|verify|diff, shares show|set|move|abort; each has its own",
                    "--help."))
        .addOption(fileOption(CONFIG, "the platform's configuration file (JSON)"))
        .addOption(fileOption(SETTINGS, "the operators' settings (protobuf text format)"))
        .addOption(
            fileOption(ROLLOUT, "enables rollouts, with these settings (protobuf text format)"))
        .addOption(
            fileOption(
                SHARES,
                "enables moves of machines between shards, with these settings (protobuf"
                    + " text format); needs --rollout"))
        .addOption(
            flag(TRAINING)
                .hidden(true)
                .description("makes a short training run on loopback for the JVM's class archive")
                .build())
        .addOption(flag("--help", "-h").usageHelp(true).build())
        .addOption(flag("--version", "-V").versionHelp(true).build());
  }

  private static OptionSpec fileOption(String name, String description) {
    return OptionSpec.builder(name)
        .paramLabel("FILE")
        .type(Path.class)
        .description(description)
        .build();
  }

  private static OptionSpec.Builder flag(String name, String... aliases) {
    return OptionSpec.builder(name, aliases).type(boolean.class);
  }

  /** Reports whether to make a training run for the class archive instead of serving. */
  boolean isTrainingRun() {
    return parsed.hasMatchedOption(TRAINING);
  }

  /** Returns the platform's configuration file, which is required. */
  Path config() throws StartupException {
    return file(CONFIG).orElseThrow(() -> new StartupException("--config FILE is required"));
  }

  /** Returns the file with the operators' settings. */
  Optional<Path> settings() {
    return file(SETTINGS);
  }

  /** Returns the file with the settings of rollouts. */
  Optional<Path> rollout() {
    return file(ROLLOUT);
  }

  /** Returns the file with the settings of shares. */
  Optional<Path> shares() {
    return file(SHARES);
  }

  private Optional<Path> file(String name) {
    return Optional.ofNullable(parsed.matchedOptionValue(name, null));
  }
}
