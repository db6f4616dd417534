package shorecrank.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shorecrank.protocol.Json;

/** The real process, over loopback, against a small state service and cloud. */
class ProcessTest {
  @TempDir Path dir;
  private final List<Process> started = new ArrayList<>();
  private HttpServer services;

  @AfterEach
  void stop() {
    started.forEach(Process::destroyForcibly);
    if (services != null) {
      services.stop(0);
    }
  }

  @Test
  void commandLineMistakesAreOneLineAndStatusTwo() throws Exception {
    Path bad =
        Files.writeString(dir.resolve("bad.json"), "{\"label\":\"a\",\"public_addr\":\"x\"}");
    startServices();
    Path good = config(freePort(), freePort(), "");
    Path badRollout = Files.writeString(dir.resolve("rollout.textproto"), "settle_s: -1");
    for (List<String> args :
        List.of(
            List.<String>of(),
            List.of("--colour"),
            List.of("--config", dir.resolve("none").toString()),
            List.of("--config", bad.toString()),
            List.of("--config", good.toString(), "--rollout", badRollout.toString()),
            List.of("explode"),
            List.of("rollout", "explode"))) {
      Process p = run(args);
      String err = new String(p.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(p.waitFor(20, TimeUnit.SECONDS));
      assertEquals(2, p.exitValue(), err);
      assertEquals(1, err.strip().lines().count(), err);
    }
    Process help = run(List.of("--help"));
    String out = new String(help.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(help.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, help.exitValue());
    assertTrue(out.contains("--settings"), out);
  }

  @Test
  void servesUsersAndAWorker() throws Exception {
    int pub = freePort();
    int peer = freePort();
    startServices();
    Path config = config(pub, peer, "");
    run(List.of("--config", config.toString()));
    await(() -> send("GET", pub, "/healthz", null).statusCode() == 200);
    assertEquals(400, send("POST", pub, "/api/jobs", "{").statusCode());
    assertEquals(404, send("GET", pub, "/api/jobs/wk-9", null).statusCode());
    assertEquals(404, send("GET", pub, "/else", null).statusCode());
    assertEquals(405, send("DELETE", pub, "/api/jobs", null).statusCode());
    assertEquals(413, send("POST", pub, "/api/jobs", "x".repeat(70_000)).statusCode());
    assertEquals(400, send("POST", pub, "/v1/report", "{\"host\":7}").statusCode());
    String job =
        """
        {"nameId":"wk-1","jobclass":"c","owner":"%s","shape":"array","urgency":"low","pieces":%s,
         "cpus":%s,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"hosttypes":null,
         "site":null,"together":false,"spread":false,"loaner":true,"guessS":1.0,
         "snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null,"later":"unknown fields are ignored"}
        """;
    assertEquals(422, send("POST", pub, "/api/jobs", job.formatted("nobody", 1, 1.0)).statusCode());
    assertEquals(422, send("POST", pub, "/api/jobs", job.formatted("t", 1, 99.0)).statusCode());
    assertEquals(400, send("POST", pub, "/api/jobs", job.formatted("t", 0, 1.0)).statusCode());
    assertEquals(400, send("POST", pub, "/api/jobs", job.formatted("t", 1, -1.0)).statusCode());
    String good = job.formatted("t", 1, 1.0);
    assertEquals(201, send("POST", pub, "/api/jobs", good).statusCode());
    assertEquals(200, send("POST", pub, "/api/jobs", good).statusCode());

    // A worker by hand: report until told to start, then report the end.
    int sequence = 1;
    JsonNode start = null;
    for (int i = 0; i < 60 && start == null; i++) {
      JsonNode orders = body(report(pub, sequence++, "")).path("orders");
      if (orders.size() > 0) {
        start = orders.get(0);
      }
      Thread.sleep(200);
    }
    assertEquals("start", start.path("verb").asText());
    String done =
        "{\"piece\":\"wk-1/0\",\"try\":%d,\"phase\":\"exited\",\"cause\":\"done\"}"
            .formatted(start.path("try").asLong());
    boolean reaped = false;
    for (int i = 0; i < 60 && !reaped; i++) {
      for (JsonNode o : body(report(pub, sequence++, done)).path("orders")) {
        reaped |= o.path("verb").asText().equals("reap");
      }
      Thread.sleep(200);
    }
    assertTrue(reaped);
    await(() -> send("GET", pub, "/api/jobs/wk-1", null).body().contains("\"done\""));
    assertTrue(send("GET", peer, "/metrics", null).body().contains("job.done"));
  }

  private Path config(int pub, int peer, String moreSettings) throws IOException {
    int port = services.getAddress().getPort();
    return Files.writeString(
        dir.resolve("node.json"),
        """
        {"label":"a","location":"z","public_addr":"127.0.0.1:%d","peer_bind":"127.0.0.1:%d",
         "members":[],"endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
         "settings":{"teams":[{"name":"t"}]%s}}
        """
            .formatted(pub, peer, port, port, moreSettings));
  }

  /** Whoever comes when all connections are taken is told so, and when to come back. */
  @Test
  void aCrowdIsAnsweredNotLeftHanging() throws Exception {
    int pub = freePort();
    startServices();
    Path config = config(pub, freePort(), ",\"quota\":{\"sockets\":40}");
    run(List.of("--config", config.toString()));
    await(() -> send("GET", pub, "/healthz", null).statusCode() == 200);
    List<Socket> idle = new ArrayList<>();
    try {
      await(
          () -> {
            String answer = raw(pub, "/api/jobs/wk-1");
            if (answer.isEmpty() && !idle.isEmpty()) {
              // On a busy machine a closed connection may count for a while: that was one too many.
              idle.remove(idle.size() - 1).close();
            } else if (!answer.startsWith("HTTP/1.1 503")) {
              idle.add(new Socket(InetAddress.getLoopbackAddress(), pub));
            }
            return answer.startsWith("HTTP/1.1 503");
          });
      assertTrue(raw(pub, "/api/jobs/wk-1").toLowerCase().contains("retry-after:"));
      assertTrue(raw(pub, "/healthz").startsWith("HTTP/1.1 200"));
    } finally {
      for (Socket s : idle) {
        s.close();
      }
    }
    await(() -> raw(pub, "/api/jobs/wk-1").startsWith("HTTP/1.1 404"));
  }

  /** One request on a connection of its own. */
  private static String raw(int port, String path) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.setSoTimeout(5000);
      s.getOutputStream()
          .write(
              ("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  /** The highest token the worker by hand has seen. */
  private long shown;

  private static JsonNode body(HttpResponse<String> response) {
    return Json.parse(response.body().getBytes(StandardCharsets.UTF_8));
  }

  private HttpResponse<String> report(int pub, int sequence, String pieces) throws Exception {
    HttpResponse<String> r =
        send(
            "POST",
            pub,
            "/v1/report",
            """
            {"host":"n-1","addr":"127.0.0.1:9","hosttype":"big","site":"z","loaner":false,
             "tenure":1,"serial":%d,"epoch":%d,"reclaimInS":null,"pieces":[%s]}
            """
                .formatted(sequence, shown, pieces));
    shown = Math.max(shown, body(r).path("epoch").asLong());
    return r;
  }

  /** A condition to wait for; a failed connection counts as not yet met. */
  private interface Check {
    boolean holds() throws Exception;
  }

  private static void await(Check check) throws Exception {
    for (int i = 0; i < 100; i++) {
      try {
        if (check.holds()) {
          return;
        }
      } catch (IOException e) {
        // not up yet
      }
      Thread.sleep(200);
    }
    assertTrue(check.holds());
  }

  private Process run(List<String> args) throws IOException {
    List<String> cmd = new ArrayList<>();
    cmd.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    Collections.addAll(cmd, "-cp", System.getProperty("java.class.path"), "shorecrank.daemon.Main");
    cmd.addAll(args);
    Process p = new ProcessBuilder(cmd).start();
    started.add(p);
    return p;
  }

  private static HttpResponse<String> send(String method, int port, String path, String body)
      throws IOException, InterruptedException {
    return HttpClient.newHttpClient()
        .send(
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(10))
                .method(
                    method,
                    body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString());
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  // ---- a small state service and cloud ---------------------------------------------------------

  /** A value of the state service's with its revision. */
  private record Item(JsonNode data, long revision) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private long revision;

  private void startServices() throws IOException {
    services = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    services.setExecutor(Executors.newCachedThreadPool());
    services.createContext("/", this::serve);
    services.start();
  }

  private void serve(HttpExchange exchange) throws IOException {
    JsonNode body = Json.parse(exchange.getRequestBody().readAllBytes());
    String path = exchange.getRequestURI().getPath();
    String query =
        exchange.getRequestURI().getQuery() == null ? "" : exchange.getRequestURI().getQuery();
    if (path.equals("/changes")) {
      try {
        Thread.sleep(100);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    int[] status = {200};
    JsonNode answer = answer(path, query, body, status);
    byte[] out = Json.bytes(answer);
    exchange.sendResponseHeaders(status[0], out.length);
    exchange.getResponseBody().write(out);
    exchange.close();
  }

  private synchronized JsonNode answer(String path, String query, JsonNode body, int[] status) {
    ObjectNode n = Json.object();
    if (path.equals("/catalog")) {
      ObjectNode t = n.putArray("hosttypes").addObject().put("sku", "big").put("cpus", 4.0);
      t.put("accelerators", 0).put("memoryGb", 8.0).put("hourly", 1.0).put("spotPrice", 0.5);
      t.put("fetchGbPerS", 1.0).put("localGb", 9).put("startupS", 9).putArray("sites").add("z");
    } else if (path.equals("/hosts")) {
      n.putArray("hosts");
    } else if (path.equals("/grants")) {
      n.put("hold", 1);
    } else if (path.equals("/multi")) {
      for (JsonNode g : body.path("guards")) {
        Item i = items.get(g.path("k").asText());
        if ((i == null ? 0 : i.revision) != g.path("stamp").asLong()) {
          status[0] = 409;
          n.withArray("failed").add(g.path("k").asText());
        }
      }
      if (status[0] == 200) {
        revision++;
        for (JsonNode o : body.path("apply")) {
          if (o.has("write")) {
            items.put(o.path("write").asText(), new Item(o.path("data"), revision));
          } else {
            items.remove(o.path("drop").asText());
          }
        }
      }
      n.put("ledgerRev", revision);
    } else if (path.startsWith("/store/")) {
      Item i = items.get(path.substring(7));
      if (i == null) {
        status[0] = 404;
        n.put("ledgerRev", revision);
      } else {
        n.put("k", path.substring(7)).put("stamp", i.revision).set("data", i.data);
      }
    } else if (path.equals("/store") || path.equals("/changes")) {
      Map<String, String> q = new TreeMap<>();
      for (String kv : query.split("&")) {
        q.put(kv.split("=", 2)[0], kv.split("=", 2)[1]);
      }
      boolean list = path.equals("/store");
      long from = list ? -1 : Long.parseLong(q.get("from"));
      for (Map.Entry<String, Item> e : items.entrySet()) {
        if (e.getKey().startsWith(q.get("prefix")) && e.getValue().revision > from) {
          ObjectNode o = n.withArray(list ? "entries" : "news").addObject();
          o.put(list ? "k" : "write", e.getKey()).put("stamp", e.getValue().revision);
          o.set("data", e.getValue().data);
        }
      }
      n.put("ledgerRev", revision);
    }
    return n;
  }
}
