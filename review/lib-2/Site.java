package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment: real controllers, and stand-ins for all that is around them. */
final class Site implements AutoCloseable {
  /** A user's job, and how long each of its tasks runs. */
  record Job(JsonNode spec, double runS) {}

  /** The answer to a user; status 0 if there was none. */
  record Reply(int status, String body) {
    String phase() {
      return status == 200 || status == 201
          ? Jsons.read(body.getBytes()).path("phase").asText()
          : "";
    }
  }

  /** One controller: its addresses, configuration and process. */
  final class Controller {
    final String label;
    final String location;
    private final List<ServerSocket> reserved = List.of(freePort(), freePort());
    final String publicAddr = "127.0.0.1:" + reserved.get(0).getLocalPort();
    final String peerAddr = "127.0.0.1:" + reserved.get(1).getLocalPort();
    Process process;
    int starts;

    Controller(String label, String location) {
      this.label = label;
      this.location = location;
    }

    void start() {
      synchronized (Site.this) {
        // After the end of the site, for instance on a signal, nothing is started any more.
        if (!isClosed) {
          startProcess();
        }
      }
    }

    private void startProcess() {
      try {
        Path config = folder.resolve(label + ".json");
        Files.write(config, Jsons.bytes(config(this)));
        List<String> command = new ArrayList<>(runCommand);
        command.add(config.toString());
        Path log = folder.resolve(label + "-" + ++starts + ".log");
        // The ports were held until now, so that nobody else got them.
        for (ServerSocket socket : reserved) {
          socket.close();
        }
        process =
            new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        record.add("controller %s started, process %d", label, process.pid());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Kills the process with no signal that it could handle. */
    void kill() {
      record.add("controller %s killed, process %d", label, process.pid());
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Sends a signal to the process. */
    void signal(String name) {
      record.add("controller %s gets %s", label, name);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Returns the last 40 lines of the logs. */
    String logEnd() {
      List<String> lines = logText().lines().toList();
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 40), lines.size()));
    }

    String logText() {
      StringBuilder text = new StringBuilder();
      for (int i = 1; i <= starts; i++) {
        try {
          text.append(Files.readString(folder.resolve(label + "-" + i + ".log")));
        } catch (IOException e) {
          text.append(e);
        }
      }
      return text.toString();
    }
  }

  final Record record;
  final Path folder;
  final JsonNode settings;
  final StateService state;
  final Cloud cloud;
  final List<Controller> controllers = new ArrayList<>();
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<String> runCommand;
  private int nextController;
  private boolean isClosed;

  /**
   * @param settings the settings of a deployment, as DEPLOY shows them
   */
  Site(Record record, JsonNode settings, int count, String... locations) throws IOException {
    this.record = record;
    this.settings = settings;
    this.folder = Files.createTempDirectory("review-case");
    JsonNode limits = settings.path("state");
    this.state =
        new StateService(
            new StateService.Limits(
                limits.path("rps").asDouble(),
                limits.path("write_rps").asDouble(),
                limits.path("value_kb").asDouble(),
                limits.path("txn_ops").asInt()));
    this.cloud = new Cloud(this, settings.path("cloud").path("list_lag_s").asDouble());
    this.runCommand = runCommand();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    for (int i = 0; i < count; i++) {
      controllers.add(new Controller("crankhost-" + i, locations[i % locations.length]));
    }
  }

  /** Returns the command that starts a controller, as the deploy file has it. */
  private static List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(command.split(" ")));
      }
    }
    throw new IOException("the deploy file has no run command");
  }

  private static ServerSocket freePort() {
    try {
      return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private JsonNode config(Controller of) {
    ObjectNode config = Jsons.object().put("label", of.label).put("location", of.location);
    config.put("public_addr", of.publicAddr).put("peer_bind", of.peerAddr);
    ArrayNode members = config.putArray("members");
    for (Controller other : controllers) {
      if (other != of) {
        members.addObject()
            .put("label", other.label)
            .put("location", other.location)
            .put("addr", other.peerAddr);
      }
    }
    config.putObject("endpoints").put("cloud", cloud.address()).put("state", state.address());
    config.set("settings", settings);
    return config;
  }

  void startControllers() {
    controllers.forEach(Controller::start);
  }

  double number(String section, String name) {
    return settings.path(section).path(name).asDouble();
  }

  // ---- users -----------------------------------------------------------------------------------

  /** Sends a user's request to one controller. */
  Reply ask(Controller to, String method, String path, JsonNode body, double timeoutS) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + to.publicAddr + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)));
    request.method(
        method,
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Jsons.bytes(body)));
    Reply reply;
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      reply = new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      reply = new Reply(0, e.toString());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    String text = reply.body.length() > 200 ? reply.body.substring(0, 200) : reply.body;
    record.add("user %s %s at %s: %d %s", method, path, to.label, reply.status, text);
    return reply;
  }

  /** Returns whether a controller is healthy. */
  boolean isHealthy(Controller controller) {
    try {
      HttpRequest probe =
          HttpRequest.newBuilder(URI.create("http://" + controller.publicAddr + "/healthz"))
              .timeout(Duration.ofSeconds(1))
              .build();
      return client.send(probe, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Submits a job, again after a second or more, for up to 60 s; returns the last answer. */
  Reply submit(JsonNode spec, double runS) {
    jobs.put(spec.path("nameId").asText(), new Job(spec, runS));
    double until = Record.now() + 60;
    while (true) {
      Reply reply = ask(nextHealthy(), "POST", "/api/jobs", spec, 5);
      boolean isFinal = reply.status == 200 || reply.status == 201 || reply.status / 100 == 4;
      if ((isFinal && reply.status != 429) || Record.now() > until) {
        return reply;
      }
      pause(1);
    }
  }

  /** Asks the next healthy controller where a job stands; waits 2 s for the answer. */
  Reply poll(String id) {
    return ask(nextHealthy(), "GET", "/api/jobs/" + id, null, 2);
  }

  /** Returns the next controller that is healthy; any if none is. */
  private Controller nextHealthy() {
    for (int i = 0; i < controllers.size(); i++) {
      Controller next = controllers.get(nextController++ % controllers.size());
      if (isHealthy(next)) {
        return next;
      }
    }
    return controllers.get(nextController % controllers.size());
  }

  /** Returns a job in the form of PROTOCOL, with one processor a task and no constraint. */
  static ObjectNode job(String id, String jobClass, String team, int pieces) {
    ObjectNode job = Jsons.object().put("nameId", id).put("jobclass", jobClass);
    job.put("owner", team).put("shape", "array").put("urgency", "normal").put("pieces", pieces);
    job.put("cpus", 1.0).put("accelerators", 0.0).put("memoryGb", 1.0);
    job.put("bundle", "img-07").put("pullGb", 0.1).putNull("hosttypes").putNull("site");
    job.put("together", false).put("spread", false).put("loaner", true).put("guessS", 10.0);
    job.put("snapshotEveryS", 0.0).put("snapshotS", 0.0);
    return job.putNull("dueS");
  }

  // ---- waiting ---------------------------------------------------------------------------------

  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until a condition holds; returns whether it did in time. */
  static boolean await(double seconds, BooleanSupplier condition) {
    double until = Record.now() + seconds;
    while (!condition.getAsBoolean()) {
      if (Record.now() > until) {
        return false;
      }
      pause(0.05);
    }
    return true;
  }

  /** Waits until all controllers are healthy and the shard has an owner. */
  boolean awaitReady(double seconds) {
    return await(
        seconds,
        () -> controllers.stream().allMatch(this::isHealthy) && !state.get("part/0").isEmpty());
  }

  /** Returns the labels of controllers whose process has ended, by itself. */
  Map<String, Integer> ended() {
    Map<String, Integer> ended = new TreeMap<>();
    for (Controller controller : controllers) {
      if (controller.process != null && !controller.process.isAlive()) {
        ended.put(controller.label, controller.process.exitValue());
      }
    }
    return ended;
  }

  /** Ends all processes that this site has started. */
  @Override
  public synchronized void close() {
    isClosed = true;
    for (Controller controller : controllers) {
      if (controller.process != null) {
        controller.process.destroyForcibly();
        try {
          controller.process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    cloud.close();
    state.close();
    try (Stream<Path> files = Files.exists(folder) ? Files.list(folder) : Stream.empty()) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      System.err.println(e);
    }
  }
}
