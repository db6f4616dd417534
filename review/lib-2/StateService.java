package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, "Controller nodes -> state service", in memory. */
final class StateService implements AutoCloseable {
  private static final int MAX_CHANGES = 10_000;
  private static final int MAX_PAGE = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  private record Entry(JsonNode data, long stamp, long hold) {}

  private record Change(String key, JsonNode data, long stamp) {}

  private static final class Grant {
    final double ttlS;
    double endsAt;

    Grant(double ttlS) {
      this.ttlS = ttlS;
      this.endsAt = Record.now() + ttlS;
    }
  }

  /** A bucket of tokens that holds one second's worth. */
  private static final class Rate {
    private final double perS;
    private double tokens;
    private double at = Record.now();

    Rate(double perS) {
      this.perS = perS;
      this.tokens = perS;
    }

    boolean take(int count) {
      double now = Record.now();
      tokens = Math.min(perS, tokens + (now - at) * perS);
      at = now;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  private final Limits limits;
  private final Rate requests;
  private final Rate writes;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final Server server;
  private long droppedUpTo;
  private long revision;
  private long lastGrant;

  /** The limits in {@code settings.state}. */
  record Limits(double rps, double writeRps, double valueKb, int txnOps) {}

  StateService(Limits limits) throws IOException {
    this.limits = limits;
    this.requests = new Rate(limits.rps());
    this.writes = new Rate(limits.writeRps());
    this.server = new Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Returns the value of a key as text; empty if it does not exist. */
  synchronized String get(String key) {
    Entry entry = entries.get(key);
    return entry == null ? "" : entry.data.toString();
  }

  /** Returns all values with a prefix as one text. */
  synchronized String all(String prefix) {
    StringBuilder text = new StringBuilder();
    entries
        .tailMap(prefix)
        .forEach((key, entry) -> text.append(key.startsWith(prefix) ? entry.data : ""));
    return text.toString();
  }

  private Server.Answer handle(String method, String path, byte[] body)
      throws InterruptedException {
    Thread.sleep(2);
    int mark = path.indexOf('?');
    String plain = mark < 0 ? path : path.substring(0, mark);
    Map<String, String> query = query(mark < 0 ? "" : path.substring(mark + 1));
    synchronized (this) {
      expire();
      if (!requests.take(1)) {
        return error(429, "too many requests");
      }
      if (plain.equals("/changes")) {
        return changes(query);
      }
      if (plain.equals("/multi")) {
        return transact(Jsons.read(body), body.length);
      }
      if (plain.equals("/store")) {
        return list(query);
      }
      if (plain.startsWith("/store/")) {
        return read(plain.substring("/store/".length()));
      }
      if (plain.startsWith("/grants")) {
        return grant(method, plain, Jsons.read(body));
      }
      return error(400, "malformed");
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return values;
  }

  private Server.Answer error(int status, String text) {
    return new Server.Answer(status, Jsons.object().put("error", text));
  }

  private Server.Answer ok(ObjectNode body) {
    return new Server.Answer(200, body);
  }

  private ObjectNode entry(String key, Entry entry) {
    ObjectNode node = Jsons.object().put("k", key).put("stamp", entry.stamp);
    node.set("data", entry.data);
    return entry.hold == 0 ? node : node.put("hold", entry.hold);
  }

  private Server.Answer read(String key) {
    Entry entry = entries.get(key);
    return entry == null
        ? new Server.Answer(404, Jsons.object().put("ledgerRev", revision))
        : ok(entry(key, entry));
  }

  private Server.Answer list(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    String from = query.getOrDefault("from", "");
    int page = Math.min(MAX_PAGE, Integer.parseInt(query.getOrDefault("page", "1000")));
    ObjectNode answer = Jsons.object();
    ArrayNode array = answer.putArray("entries");
    int bytes = 0;
    boolean truncated = false;
    for (Map.Entry<String, Entry> found : entries.tailMap(prefix, true).entrySet()) {
      if (!found.getKey().startsWith(prefix)) {
        break;
      }
      if (found.getKey().compareTo(from) <= 0) {
        continue;
      }
      ObjectNode node = entry(found.getKey(), found.getValue());
      int size = Jsons.bytes(node).length;
      if (array.size() == page || bytes + size > MAX_PAGE_BYTES - 1024) {
        truncated = true;
        break;
      }
      bytes += size + 1;
      array.add(node);
    }
    return ok(answer.put("truncated", truncated).put("ledgerRev", revision));
  }

  private Server.Answer transact(JsonNode body, int bytes) {
    JsonNode apply = body.path("apply");
    if (bytes > MAX_TRANSACTION_BYTES
        || apply.size() > limits.txnOps()
        || body.path("guards").size() > 4 * limits.txnOps()) {
      return error(400, "transaction too large");
    }
    for (JsonNode operation : apply) {
      if (operation.has("write")
          && Jsons.bytes(operation.path("data")).length > limits.valueKb() * 1024) {
        return error(400, "value too large");
      }
    }
    if (apply.size() > 0 && !writes.take(apply.size())) {
      return error(429, "too many changes");
    }
    for (JsonNode operation : apply) {
      long hold = operation.path("hold").asLong(0);
      if (operation.has("write") && hold != 0 && !grants.containsKey(hold)) {
        return error(400, "no such lease");
      }
    }
    ObjectNode refusal = Jsons.object();
    ArrayNode failed = refusal.putArray("failed");
    for (JsonNode guard : body.path("guards")) {
      Entry entry = entries.get(guard.path("k").asText());
      if ((entry == null ? 0 : entry.stamp) != guard.path("stamp").asLong()) {
        failed.add(guard.path("k").asText());
      }
    }
    if (failed.size() > 0) {
      return new Server.Answer(409, refusal.put("ledgerRev", revision));
    }
    if (apply.size() > 0) {
      revision++;
      for (JsonNode operation : apply) {
        if (operation.has("write")) {
          String key = operation.path("write").asText();
          JsonNode data = operation.path("data");
          entries.put(key, new Entry(data, revision, operation.path("hold").asLong(0)));
          change(key, data);
        } else if (entries.remove(operation.path("drop").asText()) != null) {
          change(operation.path("drop").asText(), null);
        }
      }
      notifyAll();
    }
    return ok(Jsons.object().put("ledgerRev", revision));
  }

  private void change(String key, JsonNode data) {
    changes.add(new Change(key, data, revision));
    if (changes.size() > MAX_CHANGES) {
      droppedUpTo = changes.poll().stamp;
    }
  }

  private void expire() {
    double now = Record.now();
    List<Long> ended = new ArrayList<>();
    grants.forEach(
        (id, grant) -> {
          if (grant.endsAt < now) {
            ended.add(id);
          }
        });
    ended.forEach(this::end);
  }

  private void end(long id) {
    grants.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.hold == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      for (String key : keys) {
        entries.remove(key);
        change(key, null);
      }
      notifyAll();
    }
  }

  private Server.Answer grant(String method, String path, JsonNode body) {
    if (path.equals("/grants")) {
      grants.put(++lastGrant, new Grant(body.path("ttlMs").asLong() / 1000.0));
      return ok(Jsons.object().put("hold", lastGrant));
    }
    String[] parts = path.split("/");
    long id = Long.parseLong(parts[2]);
    Grant grant = grants.get(id);
    if (grant == null) {
      return error(404, "no such lease");
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      grant.endsAt = Record.now() + grant.ttlS;
    }
    return ok(Jsons.object());
  }

  private Server.Answer changes(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("prefix", "");
    long from = Long.parseLong(query.get("from"));
    double until = Record.now() + Long.parseLong(query.getOrDefault("holdMs", "0")) / 1000.0;
    while (true) {
      if (from < droppedUpTo) {
        return error(410, "too old");
      }
      ObjectNode answer = Jsons.object().put("ledgerRev", revision);
      ArrayNode news = answer.putArray("news");
      for (Change change : changes) {
        if (change.stamp > from && change.key.startsWith(prefix)) {
          ObjectNode node = news.addObject().put("stamp", change.stamp);
          if (change.data == null) {
            node.put("drop", change.key);
          } else {
            node.put("write", change.key).set("data", change.data);
          }
        }
      }
      double left = until - Record.now();
      if (news.size() > 0 || left <= 0) {
        return ok(answer);
      }
      wait((long) Math.max(1, Math.min(50, left * 1000)));
      expire();
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
