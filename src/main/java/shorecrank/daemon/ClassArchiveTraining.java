package shorecrank.daemon;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.config.SettingsFile;

/**
 * A short run on loopback in which the controller is its own state service, cloud and peer, so that
 * the classes it needs are loaded and the JVM can archive them. Start-up then costs a fraction of
 * the processor time.
 */
final class ClassArchiveTraining {
  private static final int TRIES = 5;

  private ClassArchiveTraining() {}

  static void run() throws Exception {
    int[] context = start(TRIES);
    int pub = context[0];
    int peer = context[1];
    HttpClient client = HttpClient.newHttpClient();
    String job =
        """
        {"nameId":"wk-1","jobclass":"c","owner":"t","shape":"array","urgency":"low","pieces":1,
         "cpus":1.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"hosttypes":null,
         "site":null,"together":false,"spread":false,"loaner":true,"guessS":1.0,
         "snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}
        """;
    String report =
        """
        {"host":"n-1","addr":"127.0.0.1:9","hosttype":"x","site":"z","loaner":false,"tenure":1,
         "serial":1,"epoch":0,"reclaimInS":null,
         "pieces":[{"piece":"wk-1/0","try":1,"phase":"exited","cause":"done"}]}
        """;
    String heartbeat =
        """
        {"from":"b","writer":"w","stateOk":true,"ver":0,"parts":[],"seen":[]}
        """;
    for (int i = 0; i < 5; i++) {
      send(client, pub, "/healthz", null);
      send(client, pub, "/api/jobs", job);
      send(client, pub, "/api/jobs/wk-1", null);
      send(client, pub, "/api/jobs/wk-1/abort", "{}");
      send(client, pub, "/v1/report", report);
      send(client, peer, "/peer/beat", heartbeat);
      Thread.sleep(200);
    }
  }

  /** Starts a controller on two free context, on others if somebody was quicker. */
  private static int[] start(int attemptCount) throws Exception {
    int pub = freePort();
    int peer = freePort();
    String text =
        """
        {"label":"a","location":"z","public_addr":"127.0.0.1:%1$d","peer_bind":"127.0.0.1:%2$d",
         "members":[{"label":"b","location":"z","addr":"127.0.0.1:%2$d"}],
         "endpoints":{"cloud":"127.0.0.1:%1$d","state":"127.0.0.1:%1$d"},
         "settings":{"teams":[{"name":"t"}],"objectives":[]}}
        """
            .formatted(pub, peer);
    NodeConfig config = NodeConfigFile.read(text.getBytes(StandardCharsets.UTF_8));
    try {
      new ControllerProcess(config, SettingsFile.defaults(), null, null, "rehearsal").start();
      return new int[] {pub, peer};
    } catch (Exception e) {
      if (attemptCount <= 1) {
        throw e;
      }
      return start(attemptCount - 1);
    }
  }

  private static void send(HttpClient c, int port, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .timeout(Duration.ofSeconds(5));
    HttpRequest r =
        body == null ? b.GET().build() : b.POST(HttpRequest.BodyPublishers.ofString(body)).build();
    c.send(r, HttpResponse.BodyHandlers.ofByteArray());
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }
}
