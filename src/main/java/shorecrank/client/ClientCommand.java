package shorecrank.client;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The root command of the command-line client for operators. */
@Command(
    name = "shorecrank",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    description = "Steers and watches controllers. Without a command: runs one, see --help.",
    subcommands = {RolloutCommand.class, ArchiveCommand.class, SharesCommand.class})
public final class ClientCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /**
   * Runs a command that prints to standard output and standard error.
   *
   * @return the exit status of the process; see {@link ExitStatus}
   */
  public static int run(String... args) {
    return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
  }

  /**
   * Runs a command that prints to the given writers.
   *
   * @return the exit status; see {@link ExitStatus}
   */
  public static int run(PrintWriter out, PrintWriter err, String... args) {
    CommandLine commandLine = new CommandLine(new ClientCommand()).setOut(out).setErr(err);
    commandLine.setParameterExceptionHandler(
        (e, arguments) -> {
          String message = e.getMessage().replace('\n', ' ');
          e.getCommandLine().getErr().println("shorecrank: " + message);
          return ExitStatus.USAGE;
        });
    return commandLine.execute(args);
  }
}
