package shorecrank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParameterException;
import shorecrank.client.ClientCommand;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.RolloutSettings;
import shorecrank.rollout.RolloutSetup;

/** The command line of the controller daemon. */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  private static int run(String[] args) throws Exception {
    if (args.length > 0 && !args[0].startsWith("-")) {
      return ClientCommand.run(args);
    }
    CommandSpec spec =
        CommandSpec.create()
            .name("shorecrank")
            .usageMessage(
                new UsageMessageSpec()
                    .description("Runs one controller of the cluster scheduler until killed.")
                    .footer(
                        "LOG_LEVEL sets the log on standard error: error, info or debug.",
                        "",
                        "Commands for operators: rollout status|finalize|downgrade|abort,",
                        "archive create|verify|diff, shares show|set|move|abort; each has its own",
                        "--help."))
            .addOption(
                OptionSpec.builder("--config")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description("the platform's file (JSON)")
                    .build())
            .addOption(
                OptionSpec.builder("--settings")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description("the operators' own settings (protobuf text format)")
                    .build())
            .addOption(
                OptionSpec.builder("--rollout")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description("enables rollouts, with these settings (protobuf text format)")
                    .build())
            .addOption(
                OptionSpec.builder("--shares")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description(
                        "enables moves of machines between shards, with these settings (protobuf"
                            + " text format); needs --rollout")
                    .build())
            .addOption(
                OptionSpec.builder("--rehearse")
                    .hidden(true)
                    .type(boolean.class)
                    .description("a short run on loopback, from which a class archive is made")
                    .build())
            .addOption(
                OptionSpec.builder("--help", "-h").usageHelp(true).type(boolean.class).build())
            .addOption(
                OptionSpec.builder("--version", "-V")
                    .versionHelp(true)
                    .type(boolean.class)
                    .build());
    String version = Main.class.getPackage().getImplementationVersion();
    spec.version("shorecrank " + (version == null ? "(unpackaged)" : version));
    CommandLine line = new CommandLine(spec);
    CommandLine.ParseResult parsed;
    try {
      parsed = line.parseArgs(args);
    } catch (ParameterException e) {
      return complain(e.getMessage().replace('\n', ' '));
    }
    if (parsed.isUsageHelpRequested()) {
      line.usage(System.out);
      return 0;
    }
    if (parsed.isVersionHelpRequested()) {
      line.printVersionHelp(System.out);
      return 0;
    }
    String level = System.getenv("LOG_LEVEL");
    level = level == null || level.isBlank() ? "info" : level.trim().toLowerCase(Locale.ROOT);
    if (!level.equals("error") && !level.equals("info") && !level.equals("debug")) {
      return complain("LOG_LEVEL must be error, info or debug");
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    if (parsed.hasMatchedOption("--rehearse")) {
      try {
        ClassArchiveTraining.run();
      } catch (Exception e) {
        // Threads that were started would keep a process alive that has failed, and a build
        // waiting.
        return complain("the rehearsal failed: " + e);
      }
      return 0;
    }
    Path configFile = parsed.matchedOptionValue("--config", null);
    Path settingsFile = parsed.matchedOptionValue("--settings", null);
    if (configFile == null) {
      return complain("--config FILE is required");
    }
    Path rolloutFile = parsed.matchedOptionValue("--rollout", null);
    Path sharesFile = parsed.matchedOptionValue("--shares", null);
    if (sharesFile != null && rolloutFile == null) {
      return complain("--shares needs --rollout FILE");
    }
    NodeConfig config;
    Settings tuning;
    RolloutSetup rollout = null;
    ShareSettings shares = null;
    Path reading = configFile;
    try {
      config = NodeConfigFile.read(Files.readAllBytes(configFile));
      tuning = SettingsFile.defaults();
      if (settingsFile != null) {
        reading = settingsFile;
        tuning = SettingsFile.read(Files.readString(settingsFile));
      }
      if (rolloutFile != null) {
        reading = rolloutFile;
        RolloutSettings settings = RolloutSettings.read(Files.readString(rolloutFile));
        rollout = RolloutSetup.of(settings, build(version), tuning, sharesFile != null);
      }
      if (sharesFile != null) {
        reading = sharesFile;
        shares = ShareSettings.read(Files.readString(sharesFile));
        shares.check(config, tuning.shards());
      }
    } catch (InvalidConfigException e) {
      return complain(reading + ": " + e.getMessage());
    } catch (IOException e) {
      return complain(reading + ": can't be read");
    }
    try {
      String identity = UUID.randomUUID().toString().substring(0, 13);
      new ControllerProcess(config, tuning, rollout, shares, identity).start();
    } catch (Exception e) {
      return complain("can't listen on " + config.publicAddr() + " and " + config.peerBind());
    }
    Thread.currentThread().join();
    return 0;
  }

  private static String build(String version) {
    return version == null ? "unpackaged" : version;
  }

  private static int complain(String what) {
    System.err.println("shorecrank: " + what);
    return EXIT_USAGE;
  }
}
