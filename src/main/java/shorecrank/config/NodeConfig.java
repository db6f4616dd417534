package shorecrank.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Json;

/** The platform's file. */
public record NodeConfig(
    ControllerName label,
    String zone,
    Address publicAddr,
    Address peerBind,
    List<Member> members,
    Address cloudAddr,
    Address stateAddr,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    State state,
    Cloud cloud,
    Limits limits) {

  public record Address(String host, int port) {
    /** Of a text already known to be host and port. */
    public static Address of(String s) {
      int colon = s.lastIndexOf(':');
      return new Address(s.substring(0, colon), Integer.parseInt(s.substring(colon + 1)));
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  public record Member(ControllerName label, String location, Address addr) {}

  /** A maximum of 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  public record Objective(
      String kind, String jobClass, double withinS, double share, double times) {}

  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** Limits of the state service. */
  public record State(double rps, double writeRps, double valueKb, int txnOps) {
    State within(State o) {
      return new State(
          Math.min(rps, o.rps),
          Math.min(writeRps, o.writeRps),
          Math.min(valueKb, o.valueKb),
          Math.min(txnOps, o.txnOps));
    }
  }

  public record Cloud(double rps, double listLagS) {}

  public record Limits(double cores, double memoryMb, int sockets) {}

  /** A file that can't be used; the message names field and allowed range. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1L;

    public Invalid(String message) {
      super(message);
    }
  }

  public static NodeConfig read(byte[] text) throws Invalid {
    JsonNode n = Json.parse(text);
    if (!n.isObject()) {
      throw new Invalid("the file must hold a JSON object");
    }
    List<Member> members = new ArrayList<>();
    for (JsonNode m : n.path("members")) {
      members.add(
          new Member(
              new ControllerName(text(m, "label", "members.label")),
              m.path("location").asText(""),
              addr(m, "addr", "members.")));
    }
    JsonNode s = n.path("settings");
    Map<String, Team> teams = new TreeMap<>();
    for (JsonNode t : s.path("teams")) {
      String name = text(t, "name", "settings.teams.name");
      teams.put(
          name,
          new Team(
              name,
              number(t, "cpus", "settings.teams.", 0, 1e9, 0),
              number(t, "cpus_max", "settings.teams.", 0, 1e9, 0),
              number(t, "gpus", "settings.teams.", 0, 1e9, 0),
              number(t, "gpus_max", "settings.teams.", 0, 1e9, 0)));
    }
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode o : s.path("objectives")) {
      objectives.add(
          new Objective(
              o.path("kind").asText(""),
              o.path("class").asText(""),
              number(o, "within_s", "settings.objectives.", 0, 1e9, 0),
              number(o, "share", "settings.objectives.", 0, 1e9, 0),
              number(o, "times", "settings.objectives.", 0, 1e9, 1)));
    }
    JsonNode w = s.path("workers");
    JsonNode st = s.path("state");
    State now = state(st, "settings.state.", new State(100, 50, 16, 16));
    JsonNode next = st.path("next");
    if (!next.isObject() && !next.isMissingNode() && !next.isNull()) {
      throw new Invalid("settings.state.next must be an object with limits");
    }
    // The lower limits come without notice, so only what both allow is ever written.
    State state = next.isObject() ? now.within(state(next, "settings.state.next.", now)) : now;
    JsonNode c = s.path("cloud");
    JsonNode q = s.path("quota");
    return new NodeConfig(
        new ControllerName(text(n, "label", "label")),
        n.path("location").asText(""),
        addr(n, "public_addr", ""),
        addr(n, "peer_bind", ""),
        List.copyOf(members),
        addr(n.path("endpoints"), "cloud", "endpoints."),
        addr(n.path("endpoints"), "state", "endpoints."),
        teams,
        List.copyOf(objectives),
        new Workers(
            number(w, "report_s", "settings.workers.", 0.01, 3600, 3),
            number(w, "lease_s", "settings.workers.", 0.1, 86400, 30),
            number(w, "cancel_s", "settings.workers.", 0.1, 86400, 60)),
        state,
        new Cloud(
            number(c, "rps", "settings.cloud.", 0.1, 1e9, 4),
            number(c, "list_lag_s", "settings.cloud.", 0, 3600, 5)),
        new Limits(
            number(q, "cores", "settings.quota.", 0.01, 1024, 1),
            number(q, "mem_mb", "settings.quota.", 16, 1e9, 512),
            (int) number(q, "sockets", "settings.quota.", 16, 1e9, 1000)));
  }

  private static State state(JsonNode n, String in, State unset) throws Invalid {
    return new State(
        number(n, "rps", in, 1, 1e9, unset.rps),
        number(n, "write_rps", in, 1, 1e9, unset.writeRps),
        number(n, "value_kb", in, 1, 64, unset.valueKb),
        (int) number(n, "txn_ops", in, 4, 100000, unset.txnOps));
  }

  private static String text(JsonNode n, String f, String name) throws Invalid {
    JsonNode v = n.path(f);
    if (!v.isTextual() || v.textValue().isBlank()) {
      throw new Invalid(name + " must be a non-empty text");
    }
    return v.textValue();
  }

  private static Address addr(JsonNode n, String f, String in) throws Invalid {
    String v = text(n, f, in + f);
    int colon = v.lastIndexOf(':');
    try {
      int port = Integer.parseInt(v.substring(colon + 1));
      if (colon > 0 && port >= 1 && port <= 65535) {
        return new Address(v.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // falls through to the one complaint
    }
    throw new Invalid(in + f + " must be IP:PORT with a port from 1 to 65535");
  }

  private static double number(
      JsonNode n, String f, String in, double min, double max, double unset) throws Invalid {
    JsonNode v = n.path(f);
    if (v.isMissingNode() || v.isNull()) {
      return unset;
    }
    double x = v.isNumber() ? v.doubleValue() : Double.NaN;
    if (!(x >= min && x <= max)) {
      throw new Invalid(in + f + " must be a number from " + min + " to " + max);
    }
    return x;
  }
}
