package shorecrank.daemon;

import java.util.Locale;
import java.util.Set;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import shorecrank.client.ClientCommand;
import shorecrank.config.NodeConfig;

/** The program: a controller daemon, or a command of the client. */
public final class Main {
  private static final int EXIT_USAGE = 2;
  private static final Set<String> LOG_LEVELS = Set.of("error", "info", "debug");
  private static final String DEFAULT_LOG_LEVEL = "info";
  private static final String LOGGER_PROPERTIES = "org.slf4j.simpleLogger.";

  /** Enough of a random UUID to tell processes of one controller apart. */
  private static final int IDENTITY_LENGTH = 13;

  private Main() {}

  /** Runs the program; its exit status is 0, 2 for a mistake at the start, or the client's. */
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
   * Sets the log up, before the first logger is made.
   *
   * @param requested null or blank for the default level
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
      // Threads that were started would keep a process alive that has failed, and a build waiting.
      throw new StartupException("the rehearsal failed: " + e, e);
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
