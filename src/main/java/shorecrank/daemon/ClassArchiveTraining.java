package shorecrank.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.config.SettingsFile;

/**
 * A short training run that loads the classes a controller needs, from which the JVM makes a class
 * archive. With the archive, a controller needs a fraction of the processor time to start. In the
 * training run the addresses of the state service, the cloud and the only peer are the controller's
 * own, on loopback.
 */
final class ClassArchiveTraining {
  private static final int START_ATTEMPTS = 5;
  private static final int ROUNDS = 5;
  private static final long ROUND_PAUSE_MS = 200;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private static final String JOB =
      """
      {"nameId":"wk-1","jobclass":"c","owner":"t","shape":"array","urgency":"low","pieces":1,
       "cpus":1.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"hosttypes":null,
       "site":null,"together":false,"spread":false,"loaner":true,"guessS":1.0,
       "snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}
      """;
  private static final String WORKER_HEARTBEAT =
      """
      {"host":"n-1","addr":"127.0.0.1:9","hosttype":"x","site":"z","loaner":false,"tenure":1,
       "serial":1,"epoch":0,"reclaimInS":null,
       "pieces":[{"piece":"wk-1/0","try":1,"phase":"exited","cause":"done"}]}
      """;
  private static final String CONTROLLER_HEARTBEAT =
      """
      {"from":"b","writer":"w","stateOk":true,"ver":0,"parts":[],"seen":[]}
      """;

  /**
   * The ports on which the controller listens.
   *
   * @param users the port of the public address, for users and workers
   * @param peers the port of the peer address
   */
  private record Ports(int users, int peers) {
    private static Ports free() throws IOException {
      return new Ports(freePort(), freePort());
    }
  }

  private ClassArchiveTraining() {}

  /** Starts a controller and sends it several requests of each kind; the answers are ignored. */
  static void run() throws IOException, InterruptedException, InvalidConfigException {
    Ports ports = start();
    HttpClient client = HttpClient.newHttpClient();
    for (int round = 0; round < ROUNDS; round++) {
      send(client, ports.users, "/healthz", null);
      send(client, ports.users, "/api/jobs", JOB);
      send(client, ports.users, "/api/jobs/wk-1", null);
      send(client, ports.users, "/api/jobs/wk-1/abort", "{}");
      send(client, ports.users, "/v1/report", WORKER_HEARTBEAT);
      send(client, ports.peers, "/peer/beat", CONTROLLER_HEARTBEAT);
      Thread.sleep(ROUND_PAUSE_MS);
    }
  }

  /**
   * Starts a controller on two free ports. Tries again with other ports if it cannot be started, as
   * another process may have bound one of them in the meantime.
   */
  private static Ports start() throws IOException, InterruptedException, InvalidConfigException {
    for (int attempt = 1; ; attempt++) {
      Ports ports = Ports.free();
      DaemonConfig config = new DaemonConfig(config(ports), SettingsFile.defaults(), null, null);
      try {
        new ControllerProcess(config, "rehearsal").start();
        return ports;
      } catch (Exception e) {
        // Netty throws the IOException of a failed bind without declaring it, so it can't be named
        // in the catch clause.
        if (attempt == START_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private static NodeConfig config(Ports ports) throws InvalidConfigException {
    String text =
        """
        {"label":"a","location":"z","public_addr":"127.0.0.1:%1$d","peer_bind":"127.0.0.1:%2$d",
         "members":[{"label":"b","location":"z","addr":"127.0.0.1:%2$d"}],
         "endpoints":{"cloud":"127.0.0.1:%1$d","state":"127.0.0.1:%1$d"},
         "settings":{"teams":[{"name":"t"}],"objectives":[]}}
        """
            .formatted(ports.users, ports.peers);
    return NodeConfigFile.read(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a POST request with a body, or a GET request if the body is null. */
  private static void send(HttpClient client, int port, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .timeout(REQUEST_TIMEOUT);
    if (body == null) {
      request.GET();
    } else {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    client.send(request.build(), BodyHandlers.ofByteArray());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
