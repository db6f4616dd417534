package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import shorecrank.client.ControllerClient.Answer;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;

/** The options of every command that asks controllers, and how answers are shown. */
final class ClientOptions {
  private static final int MAX_TIMEOUT_S = 3600;
  private static final int OK = 200;

  @Spec(Spec.Target.MIXEE)
  private CommandSpec command;

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

  @Option(names = "--json", description = "print the answer as JSON")
  private boolean json;

  ControllerClient client() {
    if (timeoutS < 0 || timeoutS > MAX_TIMEOUT_S) {
      throw usage("--timeout must be from 0 to " + MAX_TIMEOUT_S);
    }
    List<URI> addresses = new ArrayList<>();
    for (String controller : controllers) {
      addresses.add(address(controller));
    }
    return new ControllerClient(addresses, Duration.ofSeconds(timeoutS));
  }

  private URI address(String controller) {
    URI address;
    try {
      address = URI.create("http://" + controller);
    } catch (IllegalArgumentException e) {
      throw usage("--controller must be HOST:PORT, not " + controller);
    }
    if (address.getHost() == null || address.getPort() <= 0) {
      throw usage("--controller must be HOST:PORT, not " + controller);
    }
    return address;
  }

  ParameterException usage(String message) {
    return new ParameterException(command.commandLine(), message);
  }

  PrintWriter out() {
    return command.commandLine().getOut();
  }

  /** One line on standard error. */
  int complain(int status, String message) {
    command.commandLine().getErr().println("shorecrank: " + message);
    return status;
  }

  boolean json() {
    return json;
  }

  /** Prints an answer as JSON, or as a line of text; refusals go to standard error. */
  int show(Answer answer, String text) {
    if (json) {
      out().println(answer.body().toPrettyString());
    } else if (answer.status() == OK) {
      out().println(text);
    }
    if (answer.status() == OK) {
      return ExitStatus.OK;
    }
    return json ? ExitStatus.REFUSED : complain(ExitStatus.REFUSED, answer.reason());
  }

  /** Asks for a status and prints it: as JSON, or as {@code print} has it. */
  int status(String path, BiConsumer<JsonNode, PrintWriter> print) {
    try {
      Answer answer = client().post(path, Json.object());
      if (answer.status() == OK && !json) {
        print.accept(answer.body(), out());
        return ExitStatus.OK;
      }
      return show(answer, "");
    } catch (ControllerClient.Unknown e) {
      return unknown(e);
    }
  }

  /** Sends an order and prints what became of it. */
  int order(String path, String id, JsonNode order) {
    try {
      Answer answer = client().post(path, order);
      return show(answer, answer.reason());
    } catch (ControllerClient.Unknown e) {
      if (!json) {
        complain(ExitStatus.UNKNOWN, "send the same order again with --id " + id);
      }
      return unknown(e);
    }
  }

  /** The answer when nobody can tell. */
  int unknown(ControllerClient.Unknown e) {
    if (json) {
      JsonNode unknown = RolloutMessages.unknown(e.getMessage());
      out().println(unknown.toPrettyString());
      return ExitStatus.UNKNOWN;
    }
    return complain(ExitStatus.UNKNOWN, "unknown: " + e.getMessage());
  }
}
