package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.protocol.Ids.Revision;

/** Messages to and from the state service. */
public final class StoreMessages {
  private StoreMessages() {}

  public record Entry(String key, JsonNode value, Revision revision, long hold) {}

  /** A change seen by a watch; value is null if the key was dropped. */
  public record Change(String key, JsonNode value, Revision revision) {}

  public static final String GRANTS = "/grants";
  public static final String MULTI = "/multi";

  /** A transaction is filled up to here: the service takes 64 KiB, guards included. */
  public static final int TXN_FILL_BYTES = 56 * 1024;

  /** Whether a status says that the request was not carried out and never will be. */
  public static boolean notCarriedOut(int status) {
    return status == 400 || status == 409 || status == 429 || status == 503;
  }

  public static String key(String key) {
    return "/store/" + key;
  }

  public static String list(String prefix, String after, int limit) {
    return "/store?prefix=" + prefix + (after.isEmpty() ? "" : "&from=" + after) + "&page=" + limit;
  }

  public static String watch(String prefix, long from, long holdMs) {
    return "/changes?prefix=" + prefix + "&from=" + from + "&holdMs=" + holdMs;
  }

  public static String grant(long hold) {
    return "/grants/" + hold;
  }

  public static String touch(long hold) {
    return "/grants/" + hold + "/touch";
  }

  public static ObjectNode ttl(long ms) {
    return Json.object().put("ttlMs", ms);
  }

  public static long hold(JsonNode n) {
    return Json.count(n.path("hold"));
  }

  public static long revision(JsonNode n) {
    return Json.count(n.path("ledgerRev"));
  }

  /** A transaction being put together. */
  public static final class Transaction {
    private final ObjectNode body = Json.object();
    private final ArrayNode guards = body.putArray("guards");
    private final ArrayNode apply = body.putArray("apply");

    public Transaction guard(String key, Revision revision) {
      guards.addObject().put("k", key).put("stamp", revision.value());
      return this;
    }

    public Transaction write(String key, JsonNode value) {
      apply.addObject().put("write", key).set("data", value);
      return this;
    }

    public Transaction write(String key, JsonNode value, long hold) {
      ObjectNode o = apply.addObject().put("write", key).put("hold", hold);
      o.set("data", value);
      return this;
    }

    public Transaction drop(String key) {
      apply.addObject().put("drop", key);
      return this;
    }

    public int ops() {
      return apply.size();
    }

    public int guards() {
      return guards.size();
    }

    public ObjectNode body() {
      return body;
    }
  }

  public static Entry entry(JsonNode n) {
    return new Entry(
        Json.text(n.path("k")),
        n.path("data"),
        new Revision(n.path("stamp").asLong()),
        n.path("hold").asLong());
  }

  public static List<Entry> entries(JsonNode n) {
    List<Entry> l = new ArrayList<>();
    n.path("entries").forEach(e -> l.add(entry(e)));
    return l;
  }

  public static boolean more(JsonNode n) {
    return n.path("truncated").asBoolean(false);
  }

  public static Set<String> failed(JsonNode n) {
    Set<String> s = new HashSet<>();
    n.path("failed").forEach(k -> s.add(k.asText()));
    return s;
  }

  public static List<Change> changes(JsonNode n) {
    List<Change> l = new ArrayList<>();
    for (JsonNode c : n.path("news")) {
      Revision s = new Revision(c.path("stamp").asLong());
      if (c.has("write")) {
        l.add(new Change(c.path("write").asText(), c.path("data"), s));
      } else if (c.has("drop")) {
        l.add(new Change(c.path("drop").asText(), null, s));
      }
    }
    return l;
  }
}
