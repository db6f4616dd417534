import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Controllers as separate processes on loopback, with stand-ins for the state service, the cloud,
 * the workers and the users. The stand-ins behave as the users' pages say of sound ones.
 */
final class Rig implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  static {
    // Without this, each answer of the stand-ins waits for a delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final String RUN_KEY = "run = ";
  private static final int EXIT_USAGE = 2;

  /** Values of the site's settings; the defaults are those of the site compas-mvd. */
  static final class Site {
    int controllers = 3;
    String[] zones = {"mvd-centro", "mvd-este", "sao-sur"};
    String team = "guardia-plataforma";
    double cpusMax = 0;
    double reportS = 3;
    double leaseS = 31;
    double cancelS = 61;
    double rps = 250;
    double writeRps = 100;
    double valueKb = 16;
    int txnOps = 48;
    double cloudRps = 10;
    double listLagS = 6;
    String type = "cuerda16";
    double typeCpus = 16;
    double typeMemoryGb = 32;
    int machines = 5;
    double restartAfterS = 4;
  }

  final Site site;
  final Path temp;
  final long startNanos = System.nanoTime();
  final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(threads)
          .build();
  final State state;
  final Cloud cloud;
  final List<Controller> controllers = new java.util.concurrent.CopyOnWriteArrayList<>();
  private static final double IMAGE_GB = 0.1;
  private static final double FETCH_GB_PER_S = 0.5;

  final Map<String, Double> runS = new ConcurrentHashMap<>();
  final Map<String, Double> cpus = new ConcurrentHashMap<>();
  final Map<String, Long> starts = new ConcurrentHashMap<>();
  final Map<String, Integer> doneTasks = new ConcurrentHashMap<>();
  final List<String> violations = new ArrayList<>();
  private final PrintWriter record;
  private volatile boolean closed;

  Rig(Site site, Path recordFile) throws Exception {
    this.site = site;
    this.temp = Files.createTempDirectory("review");
    this.record =
        new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
    this.state = new State();
    this.cloud = new Cloud();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private void endProcesses() {
    closed = true;
    for (Controller controller : controllers) {
      if (controller.process != null) {
        controller.process.destroyForcibly();
      }
    }
  }

  /** Ends the case with status 2 if it is not over after so many seconds. */
  void limit(double seconds) {
    threads.execute(
        () -> {
          sleep(seconds - now());
          if (!closed) {
            log("time limit");
            System.exit(2);
          }
        });
  }

  /** Reports whether the disruption is part of this run. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /**
   * Ends a case: 1 if its rule was broken, else 0.
   *
   * @param mustNotEnd whether the rule is that no controller ends by itself
   */
  int verdict(boolean mustNotEnd) {
    for (Controller controller : mustNotEnd ? controllers : List.<Controller>of()) {
      for (String end : controller.ends) {
        violation("%s ended by itself: %s", controller.label, end);
      }
    }
    int status = violations.isEmpty() ? 0 : 1;
    log("verdict: exit status %d, %d ends of controllers by themselves", status, endedByThemselves());
    System.out.printf(
        "trouble=%s controllers ended by themselves: %d, exit status %d%n",
        hasTrouble(), endedByThemselves(), status);
    return status;
  }

  // ---- record ----------------------------------------------------------------------------------

  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  void log(String format, Object... args) {
    String text = args.length == 0 ? format : String.format(format, args);
    synchronized (record) {
      record.printf("%8.3f %s%n", now(), text);
    }
  }

  void violation(String format, Object... args) {
    String text = String.format(format, args);
    synchronized (violations) {
      violations.add(text);
    }
    log("VIOLATION %s", text);
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static final java.util.Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

  /** Returns a free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    while (true) {
      int port = 11_000 + (int) (Math.random() * 20_000);
      if (TAKEN.add(port)) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress("127.0.0.1", port));
          return port;
        } catch (java.net.BindException e) {
          // Another process has it: tries the next.
        }
      }
    }
  }

  // ---- HTTP ------------------------------------------------------------------------------------

  /** An answer; status 0: none arrived in time. */
  record Answer(int status, JsonNode body, String retryAfter) {}

  Answer call(String method, String address, String path, String body, double timeoutS) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .header("Content-Type", "application/json")
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(body))
              .build();
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode read;
      try {
        read = JSON.readTree(response.body());
      } catch (IOException e) {
        read = JSON.createObjectNode();
      }
      return new Answer(
          response.statusCode(), read, response.headers().firstValue("Retry-After").orElse(""));
    } catch (IOException e) {
      return new Answer(0, JSON.createObjectNode(), "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, JSON.createObjectNode(), "");
    }
  }

  private static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private HttpServer serve(int port, com.sun.net.httpserver.HttpHandler handler)
      throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (RuntimeException e) {
            log("stand-in failed: %s %s", exchange.getRequestURI(), e);
            exchange.close();
          }
        });
    server.setExecutor(threads);
    server.start();
    return server;
  }

  private static Map<String, String> query(URI uri) {
    Map<String, String> values = new HashMap<>();
    if (uri.getRawQuery() != null) {
      for (String pair : uri.getRawQuery().split("&")) {
        int eq = pair.indexOf('=');
        values.put(
            pair.substring(0, eq),
            java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  // ---- state service ---------------------------------------------------------------------------

  /** The state service. */
  final class State {
    private record Entry(JsonNode data, long stamp, long hold) {}

    private record Change(String key, JsonNode data, long stamp) {}

    private static final class Hold {
      long ttlMs;
      long untilNanos;
    }

    final int port = freePort();
    private final HttpServer server;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long revision = 1;
    private long nextHold = 1;
    private double requestTokens = site.rps;
    private double writeTokens = site.writeRps;
    private long refilledNanos = System.nanoTime();
    volatile boolean outage;

    /** Transactions that change a key with this prefix get no answer and are carried out late. */
    volatile String latePrefix;

    volatile double lateS = 8;
    final java.util.concurrent.atomic.AtomicInteger transactions =
        new java.util.concurrent.atomic.AtomicInteger();
    final java.util.concurrent.atomic.AtomicInteger lateTransactions =
        new java.util.concurrent.atomic.AtomicInteger();

    State() throws IOException {
      server = serve(port, this::handle);
    }

    private void refill() {
      long now = System.nanoTime();
      double passed = (now - refilledNanos) / 1e9;
      refilledNanos = now;
      requestTokens = Math.min(site.rps, requestTokens + passed * site.rps);
      writeTokens = Math.min(site.writeRps, writeTokens + passed * site.writeRps);
    }

    private void handle(HttpExchange exchange) throws IOException {
      String method = exchange.getRequestMethod();
      String path = exchange.getRequestURI().getPath();
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (outage) {
        reply(exchange, 503, JSON.createObjectNode());
        return;
      }
      synchronized (this) {
        refill();
        if (requestTokens < 1) {
          reply(exchange, 429, JSON.createObjectNode());
          return;
        }
        requestTokens -= 1;
        expireHolds();
      }
      if (path.equals("/changes")) {
        changes(exchange);
        return;
      }
      if (path.equals("/multi")) {
        transactions.incrementAndGet();
      }
      if (path.equals("/multi") && isLate(JSON.readTree(body))) {
        lateTransactions.incrementAndGet();
        log("state service: no answer, carried out %.1f s later: %s", lateS, new String(body));
        sleep(lateS);
        synchronized (this) {
          expireHolds();
          log("state service: carried out late with status %d", apply(JSON.readTree(body)).status);
        }
        exchange.close();
        return;
      }
      synchronized (this) {
        if (path.equals("/store")) {
          list(exchange);
        } else if (path.startsWith("/store/")) {
          read(exchange, path.substring("/store/".length()));
        } else if (path.equals("/multi")) {
          multi(exchange, JSON.readTree(body));
        } else if (path.equals("/grants") && method.equals("POST")) {
          Hold hold = new Hold();
          hold.ttlMs = JSON.readTree(body).path("ttlMs").asLong();
          hold.untilNanos = System.nanoTime() + hold.ttlMs * 1_000_000;
          holds.put(nextHold, hold);
          reply(exchange, 200, JSON.createObjectNode().put("hold", nextHold++));
        } else if (path.startsWith("/grants/")) {
          grant(exchange, method, path.substring("/grants/".length()));
        } else {
          reply(exchange, 400, JSON.createObjectNode());
        }
      }
    }

    private void grant(HttpExchange exchange, String method, String rest) throws IOException {
      boolean touch = rest.endsWith("/touch");
      long id = Long.parseLong(touch ? rest.substring(0, rest.length() - 6) : rest);
      Hold hold = holds.get(id);
      if (hold == null) {
        reply(exchange, 404, JSON.createObjectNode());
      } else if (touch) {
        hold.untilNanos = System.nanoTime() + hold.ttlMs * 1_000_000;
        reply(exchange, 200, JSON.createObjectNode().put("hold", id));
      } else {
        end(id);
        reply(exchange, 200, JSON.createObjectNode());
      }
    }

    private void expireHolds() {
      long now = System.nanoTime();
      for (long id : new ArrayList<>(holds.keySet())) {
        if (holds.get(id).untilNanos < now) {
          end(id);
        }
      }
    }

    private void end(long id) {
      holds.remove(id);
      List<String> attached = new ArrayList<>();
      keys.forEach(
          (key, entry) -> {
            if (entry.hold == id) {
              attached.add(key);
            }
          });
      if (!attached.isEmpty()) {
        revision++;
        attached.forEach(key -> change(key, null, 0));
        notifyAll();
      }
    }

    private void change(String key, JsonNode data, long hold) {
      if (data == null) {
        keys.remove(key);
      } else {
        keys.put(key, new Entry(data, revision, hold));
      }
      changes.add(new Change(key, data, revision));
      if (key.equals("leader") || key.startsWith("part/")) {
        log("state service: %s is now %s", key, data);
      }
    }

    private void read(HttpExchange exchange, String key) throws IOException {
      Entry entry = keys.get(key);
      if (entry == null) {
        reply(exchange, 404, JSON.createObjectNode().put("ledgerRev", revision));
        return;
      }
      ObjectNode answer = JSON.createObjectNode().put("k", key);
      answer.set("data", entry.data);
      answer.put("stamp", entry.stamp);
      if (entry.hold > 0) {
        answer.put("hold", entry.hold);
      }
      reply(exchange, 200, answer);
    }

    private void list(HttpExchange exchange) throws IOException {
      Map<String, String> query = query(exchange.getRequestURI());
      String prefix = query.getOrDefault("prefix", "");
      String from = query.getOrDefault("from", "");
      int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode entries = answer.putArray("entries");
      int bytes = 0;
      boolean truncated = false;
      String after = from.compareTo(prefix) > 0 ? from : prefix;
      for (Map.Entry<String, Entry> each :
          keys.tailMap(after, !after.equals(from)).entrySet()) {
        if (!each.getKey().startsWith(prefix)) {
          break;
        }
        int size = each.getValue().data.toString().length() + 100;
        if (entries.size() >= page || bytes + size > 512 * 1024) {
          truncated = true;
          break;
        }
        bytes += size;
        ObjectNode entry = entries.addObject().put("k", each.getKey());
        entry.set("data", each.getValue().data);
        entry.put("stamp", each.getValue().stamp);
      }
      answer.put("truncated", truncated).put("ledgerRev", revision);
      reply(exchange, 200, answer);
    }

    private boolean isLate(JsonNode body) {
      String prefix = latePrefix;
      boolean late = false;
      for (JsonNode operation : body.path("apply")) {
        late |= prefix != null && operation.path("write").asText().startsWith(prefix);
      }
      return late;
    }

    private record Outcome(int status, JsonNode body) {}

    private void multi(HttpExchange exchange, JsonNode body) throws IOException {
      Outcome outcome = apply(body);
      reply(exchange, outcome.status, outcome.body);
    }

    private Outcome apply(JsonNode body) {
      JsonNode apply = body.path("apply");
      if (apply.size() > site.txnOps || body.path("guards").size() > 4 * site.txnOps) {
        return new Outcome(400, JSON.createObjectNode().put("error", "too many"));
      }
      for (JsonNode operation : apply) {
        if (operation.has("data")
            && operation.path("data").toString().getBytes(StandardCharsets.UTF_8).length
                > site.valueKb * 1024) {
          return new Outcome(400, JSON.createObjectNode().put("error", "too large"));
        }
        if (operation.has("hold") && !holds.containsKey(operation.path("hold").asLong())) {
          return new Outcome(400, JSON.createObjectNode().put("error", "no such lease"));
        }
      }
      if (writeTokens < Math.min(apply.size(), site.writeRps)) {
        return new Outcome(429, JSON.createObjectNode());
      }
      writeTokens -= apply.size();
      ObjectNode refusal = JSON.createObjectNode();
      ArrayNode failed = refusal.putArray("failed");
      for (JsonNode guard : body.path("guards")) {
        Entry entry = keys.get(guard.path("k").asText());
        if (guard.path("stamp").asLong() != (entry == null ? 0 : entry.stamp)) {
          failed.add(guard.path("k").asText());
        }
      }
      if (!failed.isEmpty()) {
        return new Outcome(409, refusal.put("ledgerRev", revision));
      }
      if (apply.size() > 0) {
        revision++;
        for (JsonNode operation : apply) {
          if (operation.has("write")) {
            change(
                operation.path("write").asText(),
                operation.path("data"),
                operation.path("hold").asLong(0));
          } else if (keys.containsKey(operation.path("drop").asText())) {
            change(operation.path("drop").asText(), null, 0);
          }
        }
        notifyAll();
      }
      return new Outcome(200, JSON.createObjectNode().put("ledgerRev", revision));
    }

    private void changes(HttpExchange exchange) throws IOException {
      Map<String, String> query = query(exchange.getRequestURI());
      String prefix = query.getOrDefault("prefix", "");
      long from = Long.parseLong(query.getOrDefault("from", "0"));
      long holdMs = Long.parseLong(query.getOrDefault("holdMs", "0"));
      long untilNanos = System.nanoTime() + holdMs * 1_000_000;
      ObjectNode answer = JSON.createObjectNode();
      synchronized (this) {
        while (true) {
          expireHolds();
          ArrayNode news = JSON.createArrayNode();
          for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp > from; i--) {
            Change change = changes.get(i);
            if (change.key.startsWith(prefix)) {
              ObjectNode each = JSON.createObjectNode();
              each.put(change.data == null ? "drop" : "write", change.key);
              if (change.data != null) {
                each.set("data", change.data);
              }
              news.insert(0, each.put("stamp", change.stamp));
            }
          }
          long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
          if (!news.isEmpty() || leftMs <= 0) {
            answer.put("ledgerRev", revision).set("news", news);
            break;
          }
          try {
            wait(Math.min(leftMs, 100));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
          }
        }
      }
      reply(exchange, 200, answer);
    }

    /** Returns the keys with a prefix. */
    synchronized List<String> keys(String prefix) {
      return keys.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns a key's value, or null. */
    synchronized JsonNode value(String key) {
      Entry entry = keys.get(key);
      return entry == null ? null : entry.data;
    }
  }

  // ---- cloud -----------------------------------------------------------------------------------

  /** The cloud. */
  final class Cloud {
    final int port = freePort();

    /** How many more machines can be rented in a zone. */
    final Map<String, Integer> capacity = new ConcurrentHashMap<>();

    volatile double bootS = 1;
    volatile double lagS = site.listLagS;

    final Map<String, Machine> machines = new TreeMap<>();
    final Map<String, List<String>> claims = new HashMap<>();

    Cloud() throws IOException {
      serve(port, this::handle);
    }

    Machine add(String zone) throws IOException {
      synchronized (machines) {
        String name = String.format("n-%06d", machines.size() + 1);
        Machine machine = new Machine(name, zone);
        machines.put(name, machine);
        return machine;
      }
    }

    private synchronized void rent(HttpExchange exchange, JsonNode body) throws IOException {
      String claim = body.path("claim").asText();
      String zone = body.path("site").asText();
      ObjectNode answer = JSON.createObjectNode();
      if (!claims.containsKey(claim)) {
        int left = capacity.getOrDefault(zone, 0);
        int count = Math.min(left, body.path("count").asInt());
        if (count == 0) {
          reply(exchange, 503, answer.put("error", "no capacity"));
          return;
        }
        capacity.put(zone, left - count);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          Machine machine = add(zone);
          machine.rentedAt = now();
          machine.spot = body.path("loaner").asBoolean();
          names.add(machine.name);
          threads.execute(
              () -> {
                sleep(bootS);
                machine.start();
                log("machine %s in %s is up", machine.name, machine.zone);
              });
        }
        claims.put(claim, names);
        log("rented %s", names);
      }
      ArrayNode hosts = answer.putArray("hosts");
      claims.get(claim).forEach(hosts::add);
      reply(exchange, 200, answer);
    }

    private void handle(HttpExchange exchange) throws IOException {
      String path = exchange.getRequestURI().getPath();
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (path.equals("/catalog")) {
        ObjectNode answer = JSON.createObjectNode();
        ObjectNode type = answer.putArray("hosttypes").addObject();
        type.put("sku", site.type).put("cpus", site.typeCpus).put("accelerators", 0);
        type.put("memoryGb", site.typeMemoryGb).put("localGb", 70.0).put("fetchGbPerS", FETCH_GB_PER_S);
        type.put("hourly", 0.64).put("spotPrice", 0.24).put("startupS", 50);
        ArrayNode zones = type.putArray("sites");
        Arrays.stream(site.zones).forEach(zones::add);
        reply(exchange, 200, answer);
      } else if (path.equals("/hosts/release")) {
        for (JsonNode name : JSON.readTree(body).path("hosts")) {
          Machine machine;
          synchronized (machines) {
            machine = machines.get(name.asText());
          }
          if (machine != null) {
            machine.end("released");
          }
        }
        reply(exchange, 200, JSON.createObjectNode());
      } else if (path.equals("/hosts") && exchange.getRequestMethod().equals("POST")) {
        rent(exchange, JSON.readTree(body));
      } else {
        String from = query(exchange.getRequestURI()).getOrDefault("from", "");
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode hosts = answer.putArray("hosts");
        synchronized (machines) {
          machines.forEach(
              (name, machine) -> {
                if (name.compareTo(from) > 0
                    && !machine.gone
                    && (machine.rentedAt <= 0 || now() - machine.rentedAt > lagS)) {
                  hosts
                      .addObject()
                      .put("nameId", name)
                      .put("addr", machine.address())
                      .put("hosttype", site.type)
                      .put("site", machine.zone)
                      .put("loaner", machine.spot)
                      .put("phase", "running")
                      .put("ageS", machine.rentedAt <= 0 ? 600 + now() : now() - machine.rentedAt);
                }
              });
        }
        answer.put("truncated", false);
        reply(exchange, 200, answer);
      }
    }
  }

  // ---- workers ---------------------------------------------------------------------------------

  /** Is told of each task that starts. */
  volatile java.util.function.BiConsumer<Machine, String> onStart = (machine, piece) -> {};

  /** Returns the machines that have a task of a job, with their numbers of such tasks. */
  Map<Machine, Integer> machinesWith(String job) {
    List<Machine> all;
    synchronized (cloud.machines) {
      all = List.copyOf(cloud.machines.values());
    }
    Map<Machine, Integer> found = new LinkedHashMap<>();
    for (Machine machine : all) {
      int count = machine.count(job);
      if (count > 0) {
        found.put(machine, count);
      }
    }
    return found;
  }

  /** A machine with its worker. */
  final class Machine {
    private static final class Task {
      String piece;
      long attempt;
      String phase;
      String cause;
      double cpus;
      long fetchedNanos;
      long endNanos;
    }

    final String name;
    final String zone;
    final int port = freePort();
    private final HttpServer server;
    private final Map<String, Task> tasks = new ConcurrentHashMap<>();
    private long tenure = 1;
    private long serial;
    private long epoch;
    private long answeredSentNanos = System.nanoTime();
    private int node;
    private boolean changed;
    private long tokenChangeNanos = System.nanoTime() - 3_600_000_000_000L;
    volatile boolean gone;
    volatile boolean spot;
    volatile double rentedAt;
    private volatile double hungUntil;
    private long imageAtNanos;

    Machine(String name, String zone) throws IOException {
      this.name = name;
      this.zone = zone;
      this.node = Math.abs(name.hashCode()) % Math.max(1, site.controllers);
      this.server = serve(port, this::handle);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    void start() {
      answeredSentNanos = System.nanoTime();
      threads.execute(this::reportLoop);
      threads.execute(this::taskLoop);
    }

    synchronized void end(String why) {
      if (!gone) {
        gone = true;
        tasks.clear();
        server.stop(0);
        log("machine %s %s", name, why);
      }
    }

    private synchronized ObjectNode report() {
      ObjectNode report = JSON.createObjectNode();
      report.put("host", name).put("addr", address()).put("hosttype", site.type);
      report.put("site", zone).put("loaner", spot).put("tenure", tenure).put("serial", ++serial);
      report.put("epoch", epoch).putNull("reclaimInS");
      ArrayNode pieces = report.putArray("pieces");
      for (Task task : tasks.values()) {
        ObjectNode piece = pieces.addObject().put("piece", task.piece).put("try", task.attempt);
        piece.put("phase", task.phase);
        if (task.cause != null) {
          piece.put("cause", task.cause);
        }
      }
      return report;
    }

    private void handle(HttpExchange exchange) throws IOException {
      JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
      awaitContinue();
      if (exchange.getRequestURI().getPath().equals("/show")) {
        reply(exchange, 200, report());
        return;
      }
      synchronized (this) {
        boolean accepted =
            body.path("epoch").asLong() >= epoch && body.path("tenure").asLong() == tenure;
        if (accepted) {
          see(body.path("epoch").asLong());
          execute(body.path("orders"));
        }
        reply(exchange, accepted ? 200 : 409, report());
      }
    }

    /** Lets the machine stand still: it sends and answers nothing, and its tasks stay. */
    void hang(double seconds) {
      hungUntil = now() + seconds;
      log("machine %s hangs for %.1f s", name, seconds);
    }

    private void awaitContinue() {
      while (now() < hungUntil) {
        sleep(0.05);
      }
    }

    /** Lets the running tasks of a job end now. */
    void finish(String job) {
      for (Task task : tasks.values()) {
        if (task.piece.startsWith(job + "/") && task.phase.equals("running")) {
          task.endNanos = System.nanoTime();
        }
      }
    }

    /** Counts the tasks of a job that are on the machine: their image is there, they have not exited. */
    int count(String job) {
      int count = 0;
      for (Task task : List.copyOf(tasks.values())) {
        count += task.piece.startsWith(job + "/") && task.phase.equals("running") ? 1 : 0;
      }
      return count;
    }

    private void reportLoop() {
      String steward = null;
      while (!gone && !closed) {
        awaitContinue();
        long sentNanos = System.nanoTime();
        long sentTenure;
        String text;
        synchronized (this) {
          checkLease();
          changed = false;
          text = report().toString();
          sentTenure = tenure;
        }
        Controller to = controllers.get(node % controllers.size());
        Answer answer = call("POST", to.users, "/v1/report", text, 4);
        awaitContinue();
        if (answer.status == 200) {
          synchronized (this) {
            if (sentTenure == tenure && answer.body.path("epoch").asLong(-1) >= epoch) {
              see(answer.body.path("epoch").asLong());
              answeredSentNanos = sentNanos;
              execute(answer.body.path("orders"));
            }
          }
          pause(sentNanos);
        } else {
          steward = answer.status == 421 ? answer.body.path("steward").asText(null) : null;
          int next = -1;
          for (int i = 0; i < controllers.size(); i++) {
            if (controllers.get(i).label.equals(steward) && i != node % controllers.size()) {
              next = i;
            }
          }
          if (next >= 0) {
            node = next;
            sleep(0.2);
          } else {
            node = (node + 1) % controllers.size();
            sleep(1);
          }
        }
      }
    }

    private void see(long token) {
      long now = System.nanoTime();
      if (token > epoch && (now - tokenChangeNanos) / 1e9 > site.leaseS / 2) {
        tokenChangeNanos = now;
        changed = true;
      }
      epoch = token;
    }

    private void pause(long sentNanos) {
      double interval = site.reportS * (0.75 + Math.random() * 0.5);
      while (!gone && !closed) {
        double passed = (System.nanoTime() - sentNanos) / 1e9;
        boolean due;
        synchronized (this) {
          due = passed >= interval || (changed && passed >= 0.5);
        }
        if (due) {
          return;
        }
        sleep(0.02);
      }
    }

    private void checkLease() {
      if ((System.nanoTime() - answeredSentNanos) / 1e9 > site.leaseS) {
        if (!tasks.isEmpty()) {
          log("worker %s lease expired, tasks ended: %s", name, tasks.keySet());
        }
        tasks.clear();
        tenure++;
        answeredSentNanos = System.nanoTime();
      }
    }

    private void taskLoop() {
      while (!gone && !closed) {
        awaitContinue();
        synchronized (this) {
          checkLease();
          long now = System.nanoTime();
          for (Task task : tasks.values()) {
            if (task.phase.equals("pulling") && now >= task.fetchedNanos) {
              begin(task);
            }
            if (task.phase.equals("running") && now >= task.endNanos) {
              task.phase = "exited";
              task.cause = "done";
              changed = true;
              log("task %s try %d done on %s", task.piece, task.attempt, name);
              String job = task.piece.substring(0, task.piece.indexOf('/'));
              doneTasks.merge(job, 1, Integer::sum);
            }
          }
        }
        sleep(0.02);
      }
    }

    private void execute(JsonNode orders) {
      for (JsonNode order : orders) {
        String piece = order.path("piece").asText();
        String key = piece + "#" + order.path("try").asLong();
        Task held = tasks.get(key);
        switch (order.path("verb").asText()) {
          case "start" -> {
            if (held == null) {
              start(piece, order.path("try").asLong(), key);
            }
          }
          case "stop" -> {
            if (held != null && !held.phase.equals("exited")) {
              held.phase = "exited";
              held.cause = "halted";
              changed = true;
              log("task %s try %d halted on %s", piece, held.attempt, name);
            }
          }
          case "reap" -> {
            if (held != null && held.phase.equals("exited")) {
              tasks.remove(key);
              changed = true;
            }
          }
          default -> log("unknown order %s", order);
        }
      }
    }

    private void start(String piece, long attempt, String key) {
      Task task = new Task();
      task.piece = piece;
      task.attempt = attempt;
      String job = piece.substring(0, piece.indexOf('/'));
      task.cpus = cpus.getOrDefault(job, 0.0);
      double used = task.cpus;
      boolean busy = false;
      for (Task other : tasks.values()) {
        if (!other.phase.equals("exited")) {
          used += other.cpus;
          busy |= other.piece.equals(piece);
        }
      }
      if (!runS.containsKey(job)) {
        task.cause = "unknown";
      } else if (busy) {
        task.cause = "busy";
      } else if (used > site.typeCpus + 1e-6) {
        task.cause = "full";
      }
      task.phase = task.cause == null ? "pulling" : "exited";
      // All jobs have one small image, which a machine fetches once.
      if (imageAtNanos == 0) {
        imageAtNanos = System.nanoTime() + (long) (IMAGE_GB / FETCH_GB_PER_S * 1e9);
      }
      task.fetchedNanos = imageAtNanos;
      tasks.put(key, task);
      changed = true;
      log("task %s try %d %s on %s", piece, attempt, task.cause == null ? "commanded"
          : "refused as " + task.cause, name);
    }

    private void begin(Task task) {
      String job = task.piece.substring(0, task.piece.indexOf('/'));
      task.phase = "running";
      task.endNanos = System.nanoTime() + (long) (Math.max(0.05, runS.get(job)) * 1e9);
      changed = true;
      starts.put(task.piece, System.nanoTime());
      log("task %s try %d started on %s in %s", task.piece, task.attempt, name, zone);
      onStart.accept(this, task.piece);
    }
  }

  // ---- controllers -----------------------------------------------------------------------------

  /** One controller; the platform starts it again after it has ended. */
  final class Controller {
    final String label;
    final String zone;
    final String users;
    final String peers;
    volatile Process process;
    volatile int endedByItself;
    volatile boolean killed;
    volatile boolean healthy;
    int starts;
    final List<String> ends = new java.util.concurrent.CopyOnWriteArrayList<>();

    Controller(int index) throws IOException {
      label = "crankhost-" + index;
      zone = site.zones[index % site.zones.length];
      users = "127.0.0.1:" + freePort();
      peers = "127.0.0.1:" + freePort();
    }

    private Path log() {
      return temp.resolve(label + "-" + starts + ".log");
    }

    void launch() throws IOException {
      starts++;
      Path file = temp.resolve(label + ".json");
      Files.writeString(file, config(this).toPrettyString());
      List<String> command = new ArrayList<>(runCommand());
      command.add(file.toString());
      killed = false;
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
      builder.environment().put("LOG_LEVEL", "info");
      process = builder.redirectOutput(log().toFile()).start();
      Rig.this.log("controller %s started pid=%d", label, process.pid());
      Process started = process;
      threads.execute(() -> watch(started));
    }

    private void watch(Process started) {
      try {
        int status = started.waitFor();
        if (closed) {
          return;
        }
        if (!killed && status == EXIT_USAGE) {
          Rig.this.log("controller %s could not listen on its ports: the case can't run", label);
          System.exit(2);
        }
        if (!killed) {
          endedByItself++;
          String why = lastError();
          ends.add(why);
          Rig.this.log(
              "controller %s ENDED BY ITSELF exit status %d: %s", label, status, why);
          sleep(site.restartAfterS);
          if (!closed) {
            launch();
          }
        }
      } catch (InterruptedException | IOException e) {
        Thread.currentThread().interrupt();
      }
    }

    private String lastError() throws IOException {
      String found = "";
      boolean failed = false;
      for (String line : Files.readAllLines(log())) {
        if (line.contains("step.failed")) {
          failed = true;
          found = line;
        } else if (failed && !line.startsWith("\tat")) {
          return found + " | " + line;
        }
      }
      return found;
    }

    /** Kills the process; it does not come back by itself. */
    void kill() throws InterruptedException {
      killed = true;
      process.destroyForcibly();
      process.waitFor();
      Rig.this.log("controller %s killed", label);
    }

    void signal(String name) throws Exception {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      Rig.this.log("controller %s signal %s", label, name);
    }
  }

  private List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith(RUN_KEY)) {
        String text = line.substring(RUN_KEY.length()).trim();
        return List.of(text.substring(1, text.length() - 1).split(" +"));
      }
    }
    throw new IOException("no run command");
  }

  private ObjectNode config(Controller self) {
    ObjectNode config = JSON.createObjectNode();
    config.put("label", self.label).put("location", self.zone);
    config.put("public_addr", self.users).put("peer_bind", self.peers);
    ArrayNode members = config.putArray("members");
    for (Controller other : controllers) {
      if (other != self) {
        members
            .addObject()
            .put("label", other.label)
            .put("location", other.zone)
            .put("addr", other.peers);
      }
    }
    config
        .putObject("endpoints")
        .put("cloud", "127.0.0.1:" + cloud.port)
        .put("state", "127.0.0.1:" + state.port);
    ObjectNode settings = config.putObject("settings");
    settings.put("count", site.controllers);
    ArrayNode zones = settings.putArray("zones");
    Arrays.stream(site.zones).forEach(zones::add);
    settings
        .putArray("teams")
        .addObject()
        .put("name", site.team)
        .put("cpus", 0.0)
        .put("cpus_max", site.cpusMax)
        .put("gpus", 0.0)
        .put("gpus_max", 0.0);
    settings.putArray("objectives");
    settings
        .putObject("workers")
        .put("report_s", site.reportS)
        .put("lease_s", site.leaseS)
        .put("gang_wait_s", 30.0)
        .put("gang_peer_s", 4.0)
        .put("cancel_s", site.cancelS);
    settings
        .putObject("state")
        .put("rps", site.rps)
        .put("write_rps", site.writeRps)
        .put("value_kb", site.valueKb)
        .put("txn_ops", site.txnOps);
    settings.putObject("cloud").put("rps", site.cloudRps).put("list_lag_s", site.listLagS);
    settings.putObject("quota").put("cores", 0.34).put("mem_mb", 320.0).put("sockets", 2500);
    settings.put("skew_ms", 25.0);
    return config;
  }

  /** Starts machines and controllers, and waits until all controllers are healthy. */
  boolean start() throws Exception {
    for (int i = 0; i < site.controllers; i++) {
      controllers.add(new Controller(i));
    }
    for (int i = 0; i < site.machines; i++) {
      cloud.add(site.zones[i % site.zones.length]);
    }
    for (Controller controller : controllers) {
      controller.launch();
    }
    cloud.machines.values().forEach(Machine::start);
    threads.execute(this::probeLoop);
    for (int i = 0; i < 300; i++) {
      if (controllers.stream().allMatch(controller -> controller.healthy)
          && !state.keys("part/").isEmpty()) {
        log("all controllers healthy");
        return true;
      }
      sleep(0.1);
    }
    return false;
  }

  private void probeLoop() {
    while (!closed) {
      for (Controller controller : controllers) {
        controller.healthy =
            controller.process != null
                && controller.process.isAlive()
                && call("GET", controller.users, "/healthz", null, 1).status == 200;
      }
      sleep(0.5);
    }
  }

  // ---- users -----------------------------------------------------------------------------------

  private int turn;

  /** Returns the next healthy controller in turn, as the load balancer would choose it. */
  synchronized Controller next() {
    for (int i = 0; i < controllers.size(); i++) {
      Controller controller = controllers.get(turn++ % controllers.size());
      if (controller.healthy) {
        return controller;
      }
    }
    return controllers.get(turn++ % controllers.size());
  }

  /** Returns a submission of the form that the page shows. */
  ObjectNode job(String id, int tasks, double cpus, double seconds, List<String> prereqs) {
    runS.put(id, seconds);
    this.cpus.put(id, cpus);
    ObjectNode job = JSON.createObjectNode();
    job.put("nameId", id).put("jobclass", "stem-split").put("owner", site.team);
    job.put("shape", "array").put("urgency", "low").put("pieces", tasks).put("cpus", cpus);
    job.put("accelerators", 0.0).put("memoryGb", 1.6).put("bundle", "img-01").put("pullGb", IMAGE_GB);
    job.putNull("hosttypes").putNull("site").put("together", false).put("spread", false);
    job.put("loaner", true).put("guessS", seconds).put("snapshotEveryS", 0.0);
    job.put("snapshotS", 0.0).putNull("dueS");
    if (!prereqs.isEmpty()) {
      ArrayNode names = job.putArray("prereqs");
      prereqs.forEach(names::add);
    }
    return job;
  }

  /** Sends a request as users do: again after 1 s or Retry-After, for up to 60 s in total. */
  Answer send(String method, String path, String body, String what) {
    double until = now() + 60;
    while (true) {
      Controller to = next();
      Answer answer = call(method, to.users, path, body, 5);
      boolean last =
          List.of(200, 201, 400, 422).contains(answer.status) || now() + 1 > until || closed;
      log("%s at %s -> %d %s", what, to.label, answer.status, answer.body);
      if (last) {
        return answer;
      }
      double pause = 1;
      if (!answer.retryAfter.isEmpty()) {
        pause = Math.max(1, Math.min(30, Double.parseDouble(answer.retryAfter)));
      }
      sleep(pause);
    }
  }

  Answer submit(ObjectNode job) {
    return send("POST", "/api/jobs", job.toString(), "submit " + job.path("nameId").asText());
  }

  Answer cancel(String id) {
    return send("POST", "/api/jobs/" + id + "/abort", "{}", "cancel " + id);
  }

  Answer poll(String id) {
    Controller to = next();
    Answer answer = call("GET", to.users, "/api/jobs/" + id, null, 2);
    log("poll %s at %s -> %d %s", id, to.label, answer.status, answer.body);
    return answer;
  }

  // ---- end -------------------------------------------------------------------------------------

  int endedByThemselves() {
    return controllers.stream().mapToInt(controller -> controller.endedByItself).sum();
  }

  @Override
  public void close() throws Exception {
    closed = true;
    sleep(0.1);
    for (Controller controller : controllers) {
      if (controller.process != null) {
        controller.process.destroyForcibly();
        controller.process.waitFor(10, TimeUnit.SECONDS);
      }
    }
    log("all controllers ended");
    record.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(temp)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    } else {
      System.err.println("kept " + temp);
    }
    threads.shutdownNow();
  }

  /** Returns a number in a process's metrics, or -1. */
  double metric(Controller controller, String name) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + controller.peers + "/metrics"))
              .timeout(Duration.ofSeconds(2))
              .build();
      String text = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
      Matcher line = Pattern.compile("(?m)^" + Pattern.quote(name) + "\\s+(\\S+)").matcher(text);
      return line.find() ? Double.parseDouble(line.group(1)) : -1;
    } catch (IOException e) {
      return -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }
}
