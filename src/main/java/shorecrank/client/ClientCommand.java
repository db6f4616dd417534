package shorecrank.client;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The command-line client: every command that is not the daemon itself. */
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

  /** Runs a command and returns the process's exit status; see {@link ExitStatus}. */
  public static int run(String... args) {
    return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
  }

  /** Runs a command that prints to these writers, and returns the exit status. */
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
