package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The options that determine how a command prints its result. */
class OutputOptions {
  @Spec(Spec.Target.MIXEE)
  private CommandSpec command;

  @Option(names = "--json", description = "print the answer as JSON")
  private boolean json;

  /** Reports whether the result is to be printed as JSON. */
  final boolean isJson() {
    return json;
  }

  /** Returns the command that these options belong to. */
  final CommandSpec command() {
    return command;
  }

  /** Returns the writer for the command's output. */
  final PrintWriter out() {
    return command.commandLine().getOut();
  }

  /** Prints indented JSON. */
  final void printJson(JsonNode result) {
    out().println(result.toPrettyString());
  }

  /**
   * Prints an error message as one line on standard error.
   *
   * @return the given exit status, so that a command can return the result of this method
   */
  final int printError(int status, String message) {
    command.commandLine().getErr().println("shorecrank: " + message);
    return status;
  }
}
