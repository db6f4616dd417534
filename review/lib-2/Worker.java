package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A worker of PROTOCOL, "Workers -> controller nodes". */
final class Worker {
  private static final int MAX_LINE_BYTES = 64 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** An attempt on the machine, in any state. */
  static final class Task {
    final String piece;
    final long attempt;
    final Site.Job job;
    String phase = "pulling";
    String cause = "";
    double runningSince;
    double endsAt = Double.MAX_VALUE;

    Task(String piece, long attempt, Site.Job job) {
      this.piece = piece;
      this.attempt = attempt;
      this.job = job;
    }

    boolean isHere() {
      return !phase.equals("exited");
    }

    String jobId() {
      return piece.substring(0, piece.indexOf('/'));
    }
  }

  private final Site site;
  private final Cloud.Host host;
  private final double upAt;
  private final Server server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Double> images = new LinkedHashMap<>();
  private final Map<String, Boolean> results = new LinkedHashMap<>();
  private final double leaseS;
  private final double reportS;
  private volatile boolean ended;
  private volatile boolean dead;
  private long tenure = 1;
  private long serial;
  private long epoch;
  private double leaseFrom;
  private boolean changed;
  private double tokenChangeAt = -1e9;
  private int node = ThreadLocalRandom.current().nextInt(1000);

  /** How many answers were dropped because their token was lower than one seen before. */
  volatile int lowerTokens;

  /** How many answers to reports were dropped because a line was above 64 KiB. */
  volatile int oversizedAnswers;

  /** The longest answer to a report, in bytes. */
  volatile int longestAnswer;

  Worker(Site site, Cloud.Host host, double upAt) {
    this.site = site;
    this.host = host;
    this.upAt = upAt;
    this.leaseS = site.number("workers", "lease_s");
    this.reportS = site.number("workers", "report_s");
    try {
      this.server = new Server(this::handleDirect);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    Thread thread = new Thread(this::run, "worker " + host.name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return server.address();
  }

  boolean isUp(double at) {
    return at >= upAt;
  }

  /** Stops the machine with all that is on it; the cloud still lists it. */
  void die() {
    dead = true;
    site.record.add("%s: the machine stops with all that is on it", host.name);
    end();
  }

  boolean isDead() {
    return dead;
  }

  /** Ends the worker with all that is on its machine. */
  void end() {
    ended = true;
    synchronized (this) {
      tasks.values().stream().filter(Task::isHere).forEach(task -> note(task, "gone"));
      tasks.clear();
    }
    server.close();
  }

  /** Returns the tasks on the machine that have not exited. */
  synchronized List<Task> here() {
    return tasks.values().stream().filter(Task::isHere).toList();
  }

  /** Returns whether a task is on the machine or was completed there. */
  synchronized boolean hasOrHad(String piece) {
    return results.containsKey(piece)
        || tasks.values().stream().anyMatch(task -> task.isHere() && task.piece.equals(piece));
  }

  private void note(Task task, String what) {
    if (site.jobs.size() < 100 && (task.job == null || task.job.spec().path("pieces").asInt() < 200)) {
      site.record.add("%s: %s try %d %s", host.name, task.piece, task.attempt, what);
    }
  }

  // ---- time ------------------------------------------------------------------------------------

  private void run() {
    while (!ended && Record.now() < upAt) {
      Site.pause(0.05);
    }
    synchronized (this) {
      leaseFrom = Record.now();
    }
    double nextAt = Record.now() + ThreadLocalRandom.current().nextDouble(reportS / 2);
    double lastAt = -1;
    while (!ended) {
      Site.pause(0.01);
      double now = Record.now();
      boolean due;
      synchronized (this) {
        advance(now);
        due = now >= nextAt || (changed && now >= lastAt + 0.5);
      }
      if (due) {
        lastAt = now;
        nextAt = now + reportS * ThreadLocalRandom.current().nextDouble(0.75, 1.25);
        double again = report();
        if (again >= 0) {
          nextAt = Record.now() + again;
          lastAt = nextAt - 0.5;
          synchronized (this) {
            changed = false;
          }
        }
      }
    }
  }

  private void advance(double now) {
    if (now - leaseFrom > leaseS) {
      if (!tasks.isEmpty()) {
        site.record.add("%s: lease ran out, %d tasks killed", host.name, here().size());
      }
      tasks.values().stream().filter(Task::isHere).forEach(task -> note(task, "killed, lease"));
      tasks.clear();
      tenure++;
      leaseFrom = now;
      changed = true;
    }
    for (Task task : tasks.values()) {
      if (task.phase.equals("pulling") && now >= images.get(image(task))) {
        task.phase = "running";
        task.runningSince = now;
        task.endsAt = now + (results.containsKey(task.piece) ? 0 : task.job.runS());
        note(task, "running in " + host.site);
        changed = true;
      }
      if (task.phase.equals("running") && now >= task.endsAt) {
        results.put(task.piece, true);
        exit(task, "done");
      }
    }
  }

  private void exit(Task task, String cause) {
    task.phase = "exited";
    task.cause = cause;
    note(task, "exited, " + cause);
    changed = true;
  }

  private static String image(Task task) {
    return task.job.spec().path("bundle").asText();
  }

  // ---- reports ---------------------------------------------------------------------------------

  private synchronized byte[] reportBody() {
    serial++;
    ObjectNode report = Jsons.object().put("host", host.name).put("addr", address());
    report.put("hosttype", host.type.sku()).put("site", host.site).put("loaner", host.loaner);
    report.put("tenure", tenure).put("serial", serial).put("epoch", epoch).putNull("reclaimInS");
    ArrayNode pieces = report.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode piece = pieces.addObject().put("piece", task.piece).put("try", task.attempt);
      piece.put("phase", task.phase);
      if (!task.isHere()) {
        piece.put("cause", task.cause);
        if (task.cause.equals("halted")) {
          piece.put("kept", false);
        }
      }
    }
    return Jsons.bytes(report);
  }

  /** Sends a report. Returns after how many seconds to send the next one; negative: as usual. */
  private double report() {
    Site.Controller to = site.controllers.get(Math.floorMod(node, site.controllers.size()));
    long ofTenure;
    byte[] body;
    double sentAt = Record.now();
    synchronized (this) {
      changed = false;
      ofTenure = tenure;
      body = reportBody();
    }
    if (body.length > MAX_BODY_BYTES) {
      site.record.add("%s: report of %d bytes", host.name, body.length);
    }
    try {
      HttpResponse<byte[]> response =
          site.client.send(
              HttpRequest.newBuilder(URI.create("http://" + to.publicAddr + "/v1/report"))
                  .timeout(Duration.ofSeconds(4))
                  .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                  .build(),
              HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() == 421) {
        return redirect(Jsons.read(response.body()).path("steward").asText());
      }
      if (response.statusCode() == 200) {
        if (accept(response.body(), ofTenure, sentAt)) {
          return -1;
        }
      } else if (body.length > MAX_BODY_BYTES) {
        site.record.add("%s: report answered %d", host.name, response.statusCode());
      }
    } catch (IOException e) {
      // The next node is tried.
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    node++;
    return 1;
  }

  private double redirect(String steward) {
    for (int i = 0; i < site.controllers.size(); i++) {
      if (site.controllers.get(i).label.equals(steward)
          && i != Math.floorMod(node, site.controllers.size())) {
        node = i;
        return ThreadLocalRandom.current().nextDouble(0.5);
      }
    }
    node++;
    return 1;
  }

  /** Takes an answer; returns false if it can't be read. */
  private synchronized boolean accept(byte[] bytes, long ofTenure, double sentAt) {
    longestAnswer = Math.max(longestAnswer, bytes.length);
    if (hasLongLine(bytes)) {
      oversizedAnswers++;
      site.record.add("%s: answer with a line of %d bytes dropped", host.name, bytes.length);
      return false;
    }
    JsonNode answer = Jsons.read(bytes);
    long token = answer.path("epoch").asLong(-1);
    if (token < epoch) {
      lowerTokens++;
      site.record.add("%s: answer with token %d dropped, seen %d", host.name, token, epoch);
    }
    if (token < epoch || ofTenure != tenure) {
      return true;
    }
    take(token);
    leaseFrom = Math.max(leaseFrom, sentAt);
    answer.path("orders").forEach(this::execute);
    return true;
  }

  private static boolean hasLongLine(byte[] bytes) {
    int line = 0;
    for (byte value : bytes) {
      line = value == '\n' ? 0 : line + 1;
      if (line > MAX_LINE_BYTES) {
        return true;
      }
    }
    return false;
  }

  private void take(long token) {
    if (token > epoch) {
      epoch = token;
      double now = Record.now();
      if (now - tokenChangeAt > leaseS / 2) {
        tokenChangeAt = now;
        changed = true;
      }
    }
  }

  // ---- commands --------------------------------------------------------------------------------

  private synchronized Server.Answer handleDirect(String method, String path, byte[] body) {
    if (ended || Record.now() < upAt) {
      return new Server.Answer(Server.NO_ANSWER, null);
    }
    if (path.equals("/show")) {
      return new Server.Answer(200, Jsons.read(reportBody()));
    }
    if (body.length > MAX_BODY_BYTES) {
      site.record.add("%s: command of %d bytes refused", host.name, body.length);
      return new Server.Answer(413, Jsons.object());
    }
    JsonNode message = Jsons.read(body);
    if (!message.has("epoch") || !message.has("tenure")) {
      return new Server.Answer(400, Jsons.object());
    }
    boolean isCurrent =
        message.path("epoch").asLong() >= epoch && message.path("tenure").asLong() == tenure;
    if (isCurrent) {
      take(message.path("epoch").asLong());
      message.path("orders").forEach(this::execute);
    }
    return new Server.Answer(isCurrent ? 200 : 409, Jsons.read(reportBody()));
  }

  private void execute(JsonNode order) {
    String piece = order.path("piece").asText();
    long attempt = order.path("try").asLong();
    String key = piece + " " + attempt;
    Task task = tasks.get(key);
    switch (order.path("verb").asText()) {
      case "start" -> {
        if (task == null) {
          start(piece, attempt, key);
        }
      }
      case "stop" -> {
        if (task != null && task.isHere()) {
          exit(task, "halted");
        }
      }
      default -> {
        if (task != null && !task.isHere()) {
          tasks.remove(key);
        }
      }
    }
  }

  private void start(String piece, long attempt, String key) {
    Site.Job job = site.jobs.get(piece.substring(0, piece.indexOf('/')));
    Task task = new Task(piece, attempt, job);
    changed = true;
    String refusal = refusal(task);
    tasks.put(key, task);
    if (!refusal.isEmpty()) {
      exit(task, refusal);
      return;
    }
    double now = Record.now();
    images.computeIfAbsent(
        image(task),
        name -> now + job.spec().path("pullGb").asDouble() / host.type.fetchGbPerS());
    note(task, "start");
  }

  private String refusal(Task task) {
    if (task.job == null) {
      return "unknown";
    }
    double cpus = task.job.spec().path("cpus").asDouble();
    double memoryGb = task.job.spec().path("memoryGb").asDouble();
    for (Task other : new ArrayList<>(tasks.values())) {
      if (other.isHere()) {
        cpus += other.job.spec().path("cpus").asDouble();
        memoryGb += other.job.spec().path("memoryGb").asDouble();
        if (other.piece.equals(task.piece)) {
          return "busy";
        }
      }
    }
    boolean fits = cpus <= host.type.cpus() + 1e-6 && memoryGb <= host.type.memoryGb() + 1e-6;
    return fits ? "" : "full";
  }
}
