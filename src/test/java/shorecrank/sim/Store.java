package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import shorecrank.protocol.Json;
import shorecrank.rollout.ArchiveFormat.Version;

/** A stand-in for the state service, made from its page. */
final class Store {
  private record Item(JsonNode data, long revision, long hold) {}

  private record Change(String key, JsonNode data, long revision) {}

  private static final class Watch {
    String prefix;
    long from;
    long until;
    BiConsumer<Integer, JsonNode> answer;
  }

  private final Sim sim;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<Long, Long> grants = new HashMap<>();
  private final Map<Long, Long> ttls = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long nextGrant = 1;
  private long outageUntil = -1;
  int txnOps = 16;
  int valueKb = 16;
  int requests;

  /** How long ago the transaction was sent that is being carried out late. */
  long lateByMs;

  /** Told what a transaction changes, right before it does. */
  Consumer<JsonNode> beforeApply = operations -> {};

  /** Transactions refused for their size. */
  int tooLarge;

  /** The most requests, and changes, that came within one second of the clock. */
  int mostRequestsPerS;

  int mostChangesPerS;
  private long second = -1;
  private int requestsThisSecond;
  private int changesThisSecond;

  Store(Sim sim) {
    this.sim = sim;
    sim.after(50, this::expire);
  }

  boolean out() {
    return sim.now < outageUntil;
  }

  void outage(long ms) {
    outageUntil = Math.max(outageUntil, sim.now + ms);
    sim.after(
        ms,
        () -> {
          if (!out()) {
            grants.replaceAll((g, end) -> sim.now + ttls.get(g));
          }
        });
  }

  private void expire() {
    if (!out()) {
      for (Long g : new ArrayList<>(grants.keySet())) {
        if (grants.get(g) < sim.now) {
          end(g);
        }
      }
      for (Watch w : new ArrayList<>(watches)) {
        if (w.until <= sim.now) {
          fire(w);
        }
      }
    }
    sim.after(50, this::expire);
  }

  private void end(long g) {
    grants.remove(g);
    revision++;
    for (String k : new ArrayList<>(items.keySet())) {
      if (items.get(k).hold == g) {
        items.remove(k);
        log.add(new Change(k, null, revision));
      }
    }
    wake();
  }

  private void wake() {
    for (Watch w : new ArrayList<>(watches)) {
      if (news(w).hasNext()) {
        fire(w);
      }
    }
  }

  private Iterator<Change> news(Watch w) {
    int from = log.size();
    while (from > 0 && log.get(from - 1).revision > w.from) {
      from--;
    }
    return log.subList(from, log.size()).stream()
        .filter(c -> c.key.startsWith(w.prefix))
        .iterator();
  }

  private void fire(Watch w) {
    watches.remove(w);
    ObjectNode n = Json.object().put("ledgerRev", revision);
    ArrayNode a = n.putArray("news");
    news(w)
        .forEachRemaining(
            c -> {
              ObjectNode o = a.addObject();
              if (c.data == null) {
                o.put("drop", c.key);
              } else {
                o.put("write", c.key).set("data", c.data);
              }
              o.put("stamp", c.revision);
            });
    w.answer.accept(200, n);
  }

  /** Carries a request out now; refused ones (a single controller's 503) never get here. */
  void handle(String method, String path, JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    requests++;
    count(body == null ? 0 : body.path("apply").size());
    String[] shards = path.split("\\?", 2);
    Map<String, String> q = new HashMap<>();
    if (shards.length > 1) {
      for (String kv : shards[1].split("&")) {
        String[] p = kv.split("=", 2);
        q.put(p[0], p[1]);
      }
    }
    if (shards[0].equals("/changes")) {
      Watch w = new Watch();
      w.prefix = q.get("prefix");
      w.from = Long.parseLong(q.get("from"));
      w.until = sim.now + Long.parseLong(q.get("holdMs"));
      w.answer = answer;
      watches.add(w);
      if (!out()) {
        wake();
      }
      return;
    }
    if (out()) {
      answer.accept(503, Json.error("trouble"));
    } else if (shards[0].equals("/store")) {
      list(q, answer);
    } else if (shards[0].startsWith("/store/")) {
      String k = shards[0].substring(7);
      Item i = items.get(k);
      if (i == null) {
        answer.accept(404, Json.object().put("ledgerRev", revision));
      } else {
        answer.accept(200, entry(k, i));
      }
    } else if (shards[0].equals("/multi")) {
      multi(body, answer);
    } else if (shards[0].equals("/grants")) {
      long g = nextGrant++;
      long ttl = body.path("ttlMs").asLong();
      grants.put(g, sim.now + ttl);
      ttls.put(g, ttl);
      answer.accept(200, Json.object().put("hold", g));
    } else if (shards[0].startsWith("/grants/")) {
      long g = Long.parseLong(shards[0].split("/")[2]);
      if (!grants.containsKey(g)) {
        answer.accept(404, Json.object());
      } else if (method.equals("DELETE")) {
        end(g);
        answer.accept(200, Json.object());
      } else {
        grants.put(g, sim.now + ttls.get(g));
        answer.accept(200, Json.object().put("hold", g));
      }
    } else {
      answer.accept(400, Json.error("path"));
    }
  }

  private void count(int changes) {
    if (sim.now / 1000 != second) {
      second = sim.now / 1000;
      requestsThisSecond = 0;
      changesThisSecond = 0;
    }
    mostRequestsPerS = Math.max(mostRequestsPerS, ++requestsThisSecond);
    changesThisSecond += changes;
    mostChangesPerS = Math.max(mostChangesPerS, changesThisSecond);
  }

  private static ObjectNode entry(String k, Item i) {
    ObjectNode n = Json.object().put("k", k);
    n.set("data", i.data);
    return n.put("stamp", i.revision).put("hold", i.hold);
  }

  private void list(Map<String, String> q, BiConsumer<Integer, JsonNode> answer) {
    String prefix = q.get("prefix");
    int page = Integer.parseInt(q.getOrDefault("page", "1000"));
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("entries");
    boolean more = false;
    for (var e : items.tailMap(q.getOrDefault("from", prefix), !q.containsKey("from")).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (a.size() >= page) {
        more = true;
        break;
      }
      a.add(entry(e.getKey(), e.getValue()));
    }
    answer.accept(200, n.put("truncated", more).put("ledgerRev", revision));
  }

  private void multi(JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    JsonNode apply = body.path("apply");
    if (apply.size() > txnOps
        || body.path("guards").size() > 4 * txnOps
        || Json.bytes(body).length > 65536) {
      tooLarge++;
      answer.accept(400, Json.error("too large"));
      return;
    }
    for (JsonNode o : apply) {
      if (o.has("hold") && !grants.containsKey(o.path("hold").asLong())) {
        answer.accept(400, Json.error("no such lease"));
        return;
      }
      if (o.has("write") && Json.bytes(o.path("data")).length > valueKb * 1024) {
        tooLarge++;
        answer.accept(400, Json.error("value too large"));
        return;
      }
    }
    ObjectNode refused = Json.object();
    ArrayNode failed = refused.putArray("failed");
    for (JsonNode g : body.path("guards")) {
      Item i = items.get(g.path("k").asText());
      if ((i == null ? 0 : i.revision) != g.path("stamp").asLong()) {
        failed.add(g.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      answer.accept(409, refused.put("ledgerRev", revision));
      return;
    }
    beforeApply.accept(apply);
    revision++;
    for (JsonNode o : apply) {
      if (o.has("write")) {
        String k = o.path("write").asText();
        items.put(k, new Item(o.path("data").deepCopy(), revision, o.path("hold").asLong()));
        log.add(new Change(k, o.path("data").deepCopy(), revision));
      } else if (items.remove(o.path("drop").asText()) != null) {
        log.add(new Change(o.path("drop").asText(), null, revision));
      }
    }
    answer.accept(200, Json.object().put("ledgerRev", revision));
    wake();
  }

  /** A look from outside, for expectations. */
  JsonNode peek(String key) {
    Item i = items.get(key);
    return i == null ? Json.parse(null) : i.data;
  }

  List<String> keys(String prefix) {
    return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  /** All keys as they were right after a revision. */
  Map<String, Version> at(long then) {
    Map<String, Version> all = new TreeMap<>();
    for (Change c : log) {
      if (c.revision > then) {
        break;
      }
      if (c.data == null) {
        all.remove(c.key);
      } else {
        all.put(c.key, new Version(c.data, c.revision));
      }
    }
    return all;
  }

  /** Changes a key as a stranger would. */
  void poke(String key, JsonNode data) {
    revision++;
    if (data == null) {
      items.remove(key);
    } else {
      items.put(key, new Item(data, revision, 0));
    }
    log.add(new Change(key, data, revision));
    wake();
  }
}
