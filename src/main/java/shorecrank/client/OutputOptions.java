package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The options of every command that say how its result is printed. */
class OutputOptions {
  @Spec(Spec.Target.MIXEE)
  private CommandSpec command;

  @Option(names = "--json", description = "print the answer as JSON")
  private boolean json;

  /** Whether to print the result as JSON. */
  final boolean isJson() {
    return json;
  }

  /** The command that has these options. */
  final CommandSpec command() {
    return command;
  }

  /** Standard output. */
  final PrintWriter out() {
    return command.commandLine().getOut();
  }

  /** Prints JSON over several lines. */
  final void printJson(JsonNode result) {
    out().println(result.toPrettyString());
  }

  /** Prints one line on standard error and returns the exit status. */
  final int printError(int status, String message) {
    command.commandLine().getErr().println("shorecrank: " + message);
    return status;
  }
}
