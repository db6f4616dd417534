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

/** The options of commands that send requests to controllers, and the output of the answers. */
final class ClientOptions extends OutputOptions {
  private static final int MAX_TIMEOUT_S = 3600;

  @Option(
      names = "--controller",
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description = "peer addresses of controllers, tried in turn until one answers")
  private List<String> controllers = new ArrayList<>();

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "15",
      description = "how long to retry until a controller answers (default: ${DEFAULT-VALUE})")
  private int timeoutS;

  /**
   * Creates a client of the controllers given on the command line.
   *
   * @throws ParameterException if an address or the timeout is invalid
   */
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

  /** Returns the exception for an invalid command line; the user sees the message as one line. */
  ParameterException usageError(String message) {
    return new ParameterException(command().commandLine(), message);
  }

  /**
   * Prints a controller's answer: with {@code --json} its body, otherwise one line of text. If the
   * controller refused the request, the line is the reason, on standard error.
   *
   * @param text the line to print if the controller did not refuse the request
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
   * Requests a status and prints it.
   *
   * @param path the path of the status request
   * @param printer prints the status as text; not called with {@code --json}
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
   * Sends an order and prints the controller's answer, or that the order's outcome is unknown.
   *
   * @param id the id of the order, with which the user can safely send it again
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

  /**
   * Prints that no controller answered, so that the outcome of the request is unknown.
   *
   * @return the exit status {@link ExitStatus#UNKNOWN}
   */
  int reportNoAnswer(NoAnswerException failure) {
    if (isJson()) {
      printJson(OperatorRequestCodec.writeUnknown(failure.getMessage()));
      return ExitStatus.UNKNOWN;
    }
    return printError(ExitStatus.UNKNOWN, "unknown: " + failure.getMessage());
  }
}
