package shorecrank.daemon;

import java.util.Locale;
import java.util.Set;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import shorecrank.client.ClientCommand;
import shorecrank.config.NodeConfig;

/** The entry point of the controller daemon and of the command-line client. */
public final class Main {
  private static final int EXIT_USAGE = 2;
  private static final Set<String> LOG_LEVELS = Set.of("error", "info", "debug");
  private static final String DEFAULT_LOG_LEVEL = "info";
  private static final String LOGGER_PROPERTIES = "org.slf4j.simpleLogger.";

  /**
   * The number of characters of a random UUID that identify this process: 12 hexadecimal digits and
   * a hyphen.
   */
  private static final int IDENTITY_LENGTH = 13;

  private Main() {}

  /**
   * Runs a client command if the first argument is not an option, otherwise the daemon. The daemon
   * exits with status 2 if it cannot start, and a client command with an {@code ExitStatus}.
   */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run(args));
  }

  private static int run(String[] args) throws InterruptedException {
    if (args.length > 0 && !args[0].startsWith("-")) {
      return ClientCommand.run(args);
    }
    String packageVersion = Main.class.getPackage().getImplementationVersion();
    CommandLine commandLine =
        new CommandLine(
            DaemonOptions.commandSpec(packageVersion == null ? "(unpackaged)" : packageVersion));
    ParseResult parsed;
    try {
      parsed = commandLine.parseArgs(args);
    } catch (ParameterException e) {
      return printError(e.getMessage().replace('\n', ' '));
    }
    if (parsed.isUsageHelpRequested()) {
      commandLine.usage(System.out);
      return 0;
    }
    if (parsed.isVersionHelpRequested()) {
      commandLine.printVersionHelp(System.out);
      return 0;
    }
    try {
      configureLog(System.getenv("LOG_LEVEL"));
      DaemonOptions options = new DaemonOptions(parsed);
      if (options.isTrainingRun()) {
        train();
        return 0;
      }
      start(DaemonConfig.load(options, packageVersion == null ? "unpackaged" : packageVersion));
    } catch (StartupException e) {
      return printError(e.getMessage());
    }
    Thread.currentThread().join();
    return 0;
  }

  /**
   * Configures the log. Has to be called before the first logger is created, because the logging
   * library reads the properties only then.
   *
   * @param requested the level, or null or blank for the default
   */
  private static void configureLog(String requested) throws StartupException {
    String level = DEFAULT_LOG_LEVEL;
    if (requested != null && !requested.isBlank()) {
      level = requested.trim().toLowerCase(Locale.ROOT);
    }
    if (!LOG_LEVELS.contains(level)) {
      throw new StartupException("LOG_LEVEL must be error, info or debug");
    }
    System.setProperty(LOGGER_PROPERTIES + "defaultLogLevel", level);
    System.setProperty(LOGGER_PROPERTIES + "log.io.netty", "error");
    System.setProperty(LOGGER_PROPERTIES + "showThreadName", "false");
    System.setProperty(LOGGER_PROPERTIES + "showShortLogName", "true");
  }

  private static void train() throws StartupException {
    try {
      ClassArchiveTraining.run();
    } catch (Exception e) {
      // A StartupException ends the process. With any other exception, the controller's threads
      // would keep the process alive, and the build that started the process would wait forever.
      throw new StartupException("the training run failed: " + e, e);
    }
  }

  private static void start(DaemonConfig config) throws StartupException {
    String identity = UUID.randomUUID().toString().substring(0, IDENTITY_LENGTH);
    try {
      new ControllerProcess(config, identity).start();
    } catch (Exception e) {
      NodeConfig node = config.node();
      throw new StartupException(
          "can't listen on " + node.publicAddr() + " and " + node.peerBind(), e);
    }
  }

  private static int printError(String reason) {
    System.err.println("shorecrank: " + reason);
    return EXIT_USAGE;
  }
}
