package shorecrank.client;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;

/** The command-line client: every command that is not the daemon itself. */
@Command(
    name = "shorecrank",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    description = "Steers and watches controllers. Without a command: runs one, see --help.",
    subcommands = {RolloutCommand.class, ArchiveCommand.class, SharesCommand.class})
public final class ClientCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Runs a command; what it returns is the process's exit status. */
  public static int run(String... args) {
    return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
  }

  /** The same, printing elsewhere. */
  public static int run(PrintWriter out, PrintWriter err, String... args) {
    CommandLine line = new CommandLine(new ClientCommand()).setOut(out).setErr(err);
    line.setParameterExceptionHandler(
        (e, rejected) -> {
          String message = e.getMessage().replace('\n', ' ');
          e.getCommandLine().getErr().println("shorecrank: " + message);
          return ExitStatus.USAGE;
        });
    return line.execute(args);
  }
}
