package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import shorecrank.client.ControllerClient.Answer;
import shorecrank.protocol.Json;
import shorecrank.protocol.OperatorRequestCodec;

/** The options of every command that asks controllers, and how answers are printed. */
final class ClientOptions extends OutputOptions {
  private static final int MAX_TIMEOUT_S = 3600;

  @Option(
      names = "--controller",
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "peer addresses of controllers; the first that can tell answers")
  private List<String> controllers = new ArrayList<>();

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "15",
      description = "how long to go on asking until one can tell (default: ${DEFAULT-VALUE})")
  private int timeoutS;

  /** A client of the controllers that are named; fails if an option's value can't be used. */
  ControllerClient createClient() {
    if (timeoutS < 0 || timeoutS > MAX_TIMEOUT_S) {
      throw usageError("--timeout must be from 0 to " + MAX_TIMEOUT_S);
    }
    List<URI> addresses = new ArrayList<>();
    for (String controller : controllers) {
      addresses.add(parseAddress(controller));
    }
    return new ControllerClient(addresses, Duration.ofSeconds(timeoutS));
  }

  private URI parseAddress(String controller) {
    URI address;
    try {
      address = URI.create("http://" + controller);
    } catch (IllegalArgumentException e) {
      throw usageError("--controller must be HOST:PORT, not " + controller);
    }
    if (address.getHost() == null || address.getPort() <= 0) {
      throw usageError("--controller must be HOST:PORT, not " + controller);
    }
    return address;
  }

  /** The exception of a command line that can't be used, with the line that the user sees. */
  ParameterException usageError(String message) {
    return new ParameterException(command().commandLine(), message);
  }

  /**
   * Prints an answer as JSON, or as a line of text; without JSON a refusal's reason goes to
   * standard error.
   *
   * @param text what to print if the answer is no refusal
   * @return the exit status
   */
  int printAnswer(Answer answer, String text) {
    if (isJson()) {
      printJson(answer.body());
      return answer.isOk() ? ExitStatus.OK : ExitStatus.REFUSED;
    }
    if (!answer.isOk()) {
      return printError(ExitStatus.REFUSED, answer.reason());
    }
    out().println(text);
    return ExitStatus.OK;
  }

  /**
   * Asks for a status and prints it, as JSON or in the words of a printer.
   *
   * @return the exit status
   */
  int showStatus(String path, BiConsumer<JsonNode, PrintWriter> printer) {
    try {
      Answer answer = createClient().post(path, Json.object());
      if (answer.isOk() && !isJson()) {
        printer.accept(answer.body(), out());
        return ExitStatus.OK;
      }
      return printAnswer(answer, "");
    } catch (NoAnswerException e) {
      return reportNoAnswer(e);
    }
  }

  /**
   * Sends an order and prints what became of it.
   *
   * @return the exit status
   */
  int sendOrder(String path, String id, JsonNode order) {
    try {
      Answer answer = createClient().post(path, order);
      return printAnswer(answer, answer.reason());
    } catch (NoAnswerException e) {
      if (!isJson()) {
        printError(ExitStatus.UNKNOWN, "send the same order again with --id " + id);
      }
      return reportNoAnswer(e);
    }
  }

  /** Prints that no controller could tell, and returns the exit status. */
  int reportNoAnswer(NoAnswerException failure) {
    if (isJson()) {
      printJson(OperatorRequestCodec.writeUnknown(failure.getMessage()));
      return ExitStatus.UNKNOWN;
    }
    return printError(ExitStatus.UNKNOWN, "unknown: " + failure.getMessage());
  }
}
