package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.TestJson;

/** A controller that runs as a process of its own, in any version of the program. */
final class ControllerProcess extends ControllerNode {
  private static final long PROBE_EVERY_MS = 250;
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);
  private static final String SHARD_KEY_PREFIX = "part/";

  private final NodeConfigWriter.Addresses addresses;
  private final Path directory;
  private final HttpClient client;
  private final Consumer<Runnable> inbox;
  private ProgramVersion version;
  private Process process;
  private Path output;
  private boolean healthy;
  private long nextProbeMs;
  private long frozenUntilMs;

  /**
   * @param directory for the configuration file and the process's output
   * @param inbox runs tasks on the simulation thread
   */
  ControllerProcess(
      World world,
      int index,
      ProgramVersion version,
      NodeConfigWriter.Addresses addresses,
      Path directory,
      HttpClient client,
      Consumer<Runnable> inbox) {
    super(world, index);
    this.version = version;
    this.addresses = addresses;
    this.directory = directory;
    this.client = client;
    this.inbox = inbox;
  }

  /**
   * Returns the addresses that the controller listens on and those of the services that it uses.
   */
  NodeConfigWriter.Addresses addresses() {
    return addresses;
  }

  /** Returns the version that the controller's next start uses. */
  ProgramVersion version() {
    return version;
  }

  /** Sets the version that the controller's next start uses. */
  void upgrade(ProgramVersion to) {
    version = to;
  }

  // ---- process ---------------------------------------------------------------------------------

  @Override
  void launch() {
    try {
      Path file = directory.resolve(label() + ".json");
      Files.write(file, Json.bytes(NodeConfigWriter.write(world(), this)));
      List<String> command = new ArrayList<>(version.command());
      command.add(file.toString());
      output = directory.resolve(label() + "-" + startCount() + "-" + version.name() + ".log");
      process =
          new ProcessBuilder(command)
              .directory(version.directory().toFile())
              .redirectErrorStream(true)
              .redirectOutput(output.toFile())
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  void kill() {
    frozenUntilMs = 0;
    process.destroyForcibly();
  }

  /** Ends the process without a restart, if it was ever started. */
  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Stops the process by a signal, and lets it continue after the given time. */
  @Override
  void freeze(long durationMs) {
    if (!isUp()) {
      return;
    }
    Process frozen = process;
    frozenUntilMs = Math.max(frozenUntilMs, world().sim.now() + durationMs);
    signal("-STOP", frozen);
    world().sim.after(durationMs, () -> resume(frozen));
  }

  /** Lets a process continue, unless a later fault stops it for longer. */
  private void resume(Process frozen) {
    if (frozen != process || world().sim.now() >= frozenUntilMs) {
      signal("-CONT", frozen);
    }
  }

  private static void signal(String signal, Process target) {
    if (!target.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", signal, Long.toString(target.pid())).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reports whether the process is alive or was stopped by the test; false if it has ended by
   * itself.
   */
  boolean isAliveOrStoppedByTest() {
    return !isUp() || process.isAlive();
  }

  /** Describes the end of a process that has ended: its exit status and the last line it wrote. */
  String describeEnd() {
    return "%s, start %d, pid %d, exit status %d, last line of its output: %s"
        .formatted(label(), startCount(), process.pid(), process.exitValue(), lastLine());
  }

  private String lastLine() {
    try {
      String text = Files.readString(output).strip();
      return text.isEmpty() ? "none" : text.substring(text.lastIndexOf('\n') + 1);
    } catch (IOException e) {
      return "unreadable: " + e;
    }
  }

  // ---- requests --------------------------------------------------------------------------------

  @Override
  void handle(ControllerRequest request, ReplyHandler reply) {
    String address = request.peer() ? addresses.peers() : addresses.users();
    HttpRequest.BodyPublisher body =
        request.body() == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Json.bytes(request.body()));
    HttpRequest sent =
        HttpRequest.newBuilder(URI.create("http://" + address + request.path()))
            .timeout(REQUEST_TIMEOUT)
            .method(request.method(), body)
            .build();
    client
        .sendAsync(sent, HttpResponse.BodyHandlers.ofByteArray())
        .whenComplete(
            (response, failure) ->
                inbox.accept(
                    () -> {
                      if (failure == null) {
                        reply.accept(response.statusCode(), TestJson.parse(response.body()));
                      } else {
                        reply.noAnswer();
                      }
                    }));
  }

  /** Returns the value of a metric that this process exports; 0 if it exports none of this name. */
  double metric(String name) {
    String text = get(addresses.peers() + "/metrics").orElse("");
    Matcher line = Pattern.compile("(?m)^" + Pattern.quote(name) + "\\s+(\\S+)").matcher(text);
    return line.find() ? Double.parseDouble(line.group(1)) : 0;
  }

  /**
   * Reports whether the process says that it can take requests; asks it at most every {@link
   * #PROBE_EVERY_MS}.
   */
  boolean isHealthy() {
    long now = world().sim.now();
    if (!isUp()) {
      healthy = false;
    } else if (now >= nextProbeMs) {
      nextProbeMs = now + PROBE_EVERY_MS;
      healthy = get(addresses.users() + "/healthz").isPresent();
    }
    return healthy;
  }

  /** Returns the body of an answer with status 200; empty for any other answer, or none. */
  private Optional<String> get(String url) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + url)).timeout(PROBE_TIMEOUT).build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return response.statusCode() == 200 ? Optional.of(response.body()) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  // ---- observed state --------------------------------------------------------------------------

  @Override
  Map<ShardId, Epoch> ownedEpochs() {
    Map<ShardId, Epoch> owned = new HashMap<>();
    for (String key : world().store.keys(SHARD_KEY_PREFIX)) {
      JsonNode owner = world().store.peek(key);
      if (owner.path("label").asText().equals(label())) {
        ShardId shard = new ShardId(owner.path("part").asInt());
        owned.put(shard, new Epoch(owner.path("epoch").asLong()));
      }
    }
    return owned;
  }

  /** Returns an empty map: a process doesn't show what it may command. */
  @Override
  Map<ShardId, Epoch> commandedEpochs() {
    return Map.of();
  }

  /** Returns an empty set: a process doesn't show what it may command. */
  @Override
  Set<MachineName> commandedMachines() {
    return Set.of();
  }
}
