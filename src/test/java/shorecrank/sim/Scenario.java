package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.sim.World.JobPlan;
import shorecrank.sim.World.Mode;
import shorecrank.sim.World.Node;

/**
 * A scenario in a text file, a line a step; what the lines mean is said in docs/design.md.
 *
 * <p>Every rule of the protocol is checked at every step; {@code expect} lines add what else must
 * hold.
 */
final class Scenario {
  private final String name;
  private final List<String> lines;
  private final List<String> failures = new ArrayList<>();
  private String mustBreak;

  /** Where it was played last. */
  World world;

  /** Takes what steps and messages cost; null if nobody asks. */
  Measurements measurements;

  /** Takes every reply and call of the controllers; null if nobody asks. */
  OutputDigest digest;

  /** Called with the world before it runs, for what no line can say. */
  Consumer<World> prepare = w -> {};

  Scenario(String name, String text) {
    this.name = name;
    this.lines = Arrays.stream(text.split("\n")).map(String::trim).toList();
  }

  /** From how many seeds a file is played. */
  static long seeds(String text) {
    return text.lines()
        .filter(l -> l.startsWith("seeds "))
        .mapToLong(l -> Long.parseLong(l.substring(6).trim()))
        .findFirst()
        .orElse(4);
  }

  /** Troubles drawn from the scenario's seed, alone and together. */
  private void mix(World w, int count, double fromS, double toS) {
    SplittableRandom r = w.sim.random.split();
    String[] who = {"owner", "leader", "all", "n0", "n1", "n2"};
    String[] links = {"state", "peers", "workers", "users", "all"};
    String[] modes = {"drop", "hold", "refuse"};
    for (int i = 0; i < count; i++) {
      double at = fromS + r.nextDouble() * (toS - fromS);
      double s = Math.round(Math.pow(r.nextDouble(), 2) * 400) / 10.0;
      String one = who[r.nextInt(who.length)];
      String node = "n" + r.nextInt(3);
      String machine = String.format("n-%06d", 1 + r.nextInt(8));
      String mode = modes[r.nextInt(3)];
      String line =
          switch (r.nextInt(30)) {
            case 0, 1 -> "crash " + one + " " + (r.nextBoolean() ? "0.2" : "" + (2 + s / 8));
            case 2 -> "freeze " + node + " " + s;
            case 3, 4 -> "cut " + node + " " + links[r.nextInt(5)] + " " + s + " " + mode;
            case 5 -> "cut owner state " + s + " " + mode + ";cut owner peers " + s + " " + mode;
            case 6 -> "outage state " + s;
            case 7 -> "outage cloud " + s;
            case 8 -> "hang " + machine + " " + s;
            case 9 -> "silence " + machine + " " + s + " " + modes[r.nextInt(2)];
            case 10 -> "deafen " + machine + " " + s;
            case 11 -> "copies " + s + " " + (2 + r.nextInt(40));
            case 12 -> "take " + machine;
            case 13 -> "cut owner workers " + s + " " + mode;
            case 14 -> "zonecut " + node + " " + s + " " + modes[r.nextInt(2)];
            case 15 -> "partition a b " + s + " " + modes[r.nextInt(2)];
            case 16 -> "freeze owner " + s + ";hang " + machine + " " + s;
            case 17 -> "late-writes 0." + (1 + r.nextInt(6)) + " " + s;
            case 18 -> "late-writes 0." + (1 + r.nextInt(6)) + " " + s + " at-once";
            case 19 -> "copies-for-next " + s + ";crash leader 0.3";
            case 20 -> "copies-for-next " + (s + 5) + ";crash " + one + " " + (1 + s / 8);
            case 21 -> "mute " + machine + " " + s + " " + modes[r.nextInt(2)];
            case 22 -> "slow " + (5 + r.nextInt(40)) + " " + s;
            case 23 -> "cut leader state 14 refuse;cancel-now 2;outage state " + (s + 10);
            case 24 -> "cancel-now 3 " + s + ";crash " + one + " 2";
            case 25 -> "cancel-now 2;cut owner state " + s + " refuse";
            case 26 ->
                "cut leader state " + s + " hold;cut leader peers " + s + " hold;cancel-now 2";
            case 27 -> "silence zone=a " + s + " hold;crash owner 3;cancel-now 1";
            case 28 -> "deafen zone=a " + s + ";crash leader 1";
            default -> "crash " + one + " 0.3;crash " + one + " 0.1";
          };
      for (String l : line.split(";")) {
        w.sim.at((long) (at * 1000), () -> act(w, l.split(" "), l));
      }
    }
  }

  List<String> play(long seed, boolean verbose) throws NodeConfig.Invalid {
    failures.clear();
    mustBreak = null;
    StringBuilder tuning = new StringBuilder();
    for (String l : lines) {
      if (l.startsWith("set ")) {
        tuning.append(l.substring(4)).append('\n');
      }
    }
    Settings t = tuning.isEmpty() ? SettingsFile.defaults() : SettingsFile.read(tuning.toString());
    World w = new World(seed, t);
    w.verbose = verbose;
    w.measurements = measurements;
    w.digest = digest;
    world = w;
    int nodes = 3;
    long until = 120_000;
    List<Runnable> boots = new ArrayList<>();
    StringBuilder rolloutFile = new StringBuilder();
    for (String l : lines) {
      if (l.isEmpty() || l.startsWith("#") || l.startsWith("set ")) {
        continue;
      }
      String[] a = l.split("\\s+");
      switch (a[0]) {
        case "nodes" -> nodes = Integer.parseInt(a[1]);
        case "zones" -> w.zones = List.of(a[1].split(","));
        case "workers" -> {
          Map<String, String> o = options(a, 1);
          w.reportS = number(o, "report", w.reportS);
          w.leaseS = number(o, "lease", w.leaseS);
          w.cancelS = number(o, "cancel", w.cancelS);
        }
        case "state" -> {
          Map<String, String> o = options(a, 1);
          w.stateRps = number(o, "rps", w.stateRps);
          w.stateWrites = number(o, "writes", w.stateWrites);
          w.store.txnOps = (int) number(o, "ops", w.store.txnOps);
          w.store.valueKb = (int) number(o, "value", w.store.valueKb);
          w.nextValueKb = number(o, "next-value", 0);
          w.nextTxnOps = (int) number(o, "next-ops", w.store.txnOps);
          w.announced = !o.containsKey("unannounced");
        }
        case "type" -> {
          Map<String, String> o = options(a, 2);
          World.TypePlan p = new World.TypePlan();
          p.cpus = number(o, "cpus", 8);
          p.memoryGb = number(o, "mem", 32);
          p.bootS = number(o, "boot", 20);
          p.zones = List.of(o.getOrDefault("zones", "a").split(","));
          w.types.put(a[1], p);
        }
        case "team" -> {
          Map<String, String> o = options(a, 2);
          w.teamMax.put(a[1], number(o, "max", 0));
          w.teamOwn.put(a[1], number(o, "own", 0));
        }
        case "aim" -> {
          Map<String, String> o = options(a, 3);
          w.objectives.add(
              Json.object()
                  .put("kind", a[1])
                  .put("class", a[2])
                  .put("within_s", number(o, "within", 0))
                  .put("times", number(o, "times", 1)));
        }
        case "seeds" -> {}
        // rollout SETTING: VALUE, as in the operators' file; several lines are one file.
        case "rollout" -> rolloutFile.append(l.substring("rollout".length())).append('\n');
        // shares SETTING: VALUE, as in the operators' file; several lines are one file.
        case "shares" -> w.shares.line(l.substring("shares".length()));
        // levels N0,N1,...: what each controller supports at first.
        case "levels" -> {
          String[] each = a[1].split(",");
          for (int i = 0; i < each.length; i++) {
            w.rollouts.version(i, Rollouts.Version.of(each[i]));
          }
        }
        case "mix-rollout" -> boots.add(() -> new RolloutMix(this, w).draw(a));
        case "mix-shares" -> boots.add(() -> new SharesMix(this, w).draw(a));
        case "mix" ->
            boots.add(
                () ->
                    mix(
                        w,
                        Integer.parseInt(a[1]),
                        Double.parseDouble(a[2]),
                        Double.parseDouble(a[3])));
        case "must-break" -> mustBreak = a[1];
        case "capacity" -> w.cloud.capacity = Integer.parseInt(a[1]);
        case "bootfails" -> w.cloud.bootFails = Integer.parseInt(a[1]);
        case "machines" ->
            boots.add(
                () -> {
                  for (int i = 0; i < Integer.parseInt(a[3]); i++) {
                    w.cloud.boot(a[1], a[2], a.length > 4 && a[4].equals("spot"), 0);
                  }
                });
        case "at" -> {
          long ms = (long) (Double.parseDouble(a[1]) * 1000);
          String[] rest = Arrays.copyOfRange(a, 2, a.length);
          w.sim.at(ms, () -> act(w, rest, l));
        }
        case "on" -> {
          // on TEXT : ACTION, once, when a controller first logs the text.
          int colon = l.indexOf(" : ");
          String[] rest = l.substring(colon + 3).trim().split("\\s+");
          Runnable action = () -> act(w, rest, l);
          w.onLog.merge(
              l.substring(3, colon).trim(),
              action,
              (first, second) ->
                  () -> {
                    first.run();
                    second.run();
                  });
        }
        case "until" -> until = (long) (Double.parseDouble(a[1]) * 1000);
        default -> throw new IllegalArgumentException(name + ": " + l);
      }
    }
    if (w.teamMax.isEmpty()) {
      w.teamMax.put("t", 0.0);
    }
    if (w.shares.enabled() && rolloutFile.isEmpty()) {
      // Shares need the feature level; most scenarios are about what comes after.
      rolloutFile.append("automatic: true settle_s: 1 archive_before_raise: false");
    }
    if (!rolloutFile.isEmpty()) {
      w.rollouts.enable(rolloutFile.toString());
    }
    w.open(nodes);
    boots.forEach(Runnable::run);
    prepare.accept(w);
    w.sim.run(until);
    w.checker.end();
    List<String> all = new ArrayList<>(w.checker.broken);
    if (mustBreak != null) {
      // The checker itself is under test: it has to see this.
      String rule = mustBreak;
      return all.stream().anyMatch(x -> x.contains(rule)) ? List.of() : List.of("unseen: " + rule);
    }
    if (w.checker.starts == 0) {
      all.add("nothing_ran");
    }
    all.addAll(failures);
    return all;
  }

  private static Map<String, String> options(String[] a, int from) {
    Map<String, String> o = new HashMap<>();
    for (int i = from; i < a.length; i++) {
      String[] kv = a[i].split("=", 2);
      o.put(kv[0], kv.length > 1 ? kv[1] : "true");
    }
    return o;
  }

  private static double number(Map<String, String> o, String k, double unset) {
    return o.containsKey(k) ? Double.parseDouble(o.get(k)) : unset;
  }

  private static JobPlan plan(Map<String, String> o) {
    JobPlan p = new JobPlan();
    p.team = o.getOrDefault("team", p.team);
    p.jobClass = o.getOrDefault("class", p.jobClass);
    p.image = o.getOrDefault("image", p.image);
    p.site = o.get("site");
    p.hosttype = o.get("hosttype");
    p.urgency = o.getOrDefault("urgency", p.urgency);
    p.pieces = (int) number(o, "pieces", p.pieces);
    p.cpus = number(o, "cpus", p.cpus);
    p.mem = number(o, "mem", p.mem);
    p.runS = number(o, "run", p.runS);
    p.pullS = number(o, "pull", p.pullS);
    p.saveS = number(o, "save", p.saveS);
    p.due = number(o, "due", p.due);
    p.saves = o.containsKey("save");
    p.spot = !o.containsKey("ordinary");
    p.together = o.containsKey("together");
    p.spread = o.containsKey("spread");
    p.faulty = o.containsKey("faulty");
    p.needs = o.containsKey("needs") ? jobs(o.get("needs")) : List.of();
    return p;
  }

  /** Jobs by their ids; {@code wk-10..19} are ten. */
  private static List<String> jobs(String list) {
    List<String> jobs = new ArrayList<>();
    for (String one : list.split(",")) {
      int range = one.indexOf("..");
      if (range < 0) {
        jobs.add(one);
        continue;
      }
      int first = Integer.parseInt(one.substring(one.indexOf('-') + 1, range));
      int last = Integer.parseInt(one.substring(range + 2));
      for (int i = first; i <= last; i++) {
        jobs.add("wk-" + i);
      }
    }
    return jobs;
  }

  private List<Node> who(World w, String s) {
    if (s.equals("all")) {
      return w.nodes;
    }
    if (s.startsWith("owner-of-")) {
      Node owner = w.owner(Integer.parseInt(s.substring("owner-of-".length())));
      return owner == null ? List.of() : List.of(owner);
    }
    Node n =
        switch (s) {
          case "leader" -> w.leader();
          case "owner" -> w.owner(0);
          // One that neither leads nor owns.
          case "other" ->
              w.nodes.stream()
                  .filter(x -> x != w.leader() && x != w.owner(0))
                  .findFirst()
                  .orElse(null);
          default -> w.nodes.get(w.index(s));
        };
    return n == null ? List.of() : List.of(n);
  }

  private static long ms(String s) {
    return (long) (Double.parseDouble(s) * 1000);
  }

  private static Mode mode(String[] a, int i) {
    return a.length > i ? Mode.valueOf(a[i].toUpperCase(java.util.Locale.ROOT)) : Mode.DROP;
  }

  void act(World w, String line) {
    act(w, line.split("\\s+"), line);
  }

  private void act(World w, String[] a, String line) {
    switch (a[0]) {
      case "submit" -> w.users.submit(a[1], plan(options(a, 2)));
      case "burst" -> {
        // burst FIRST EVERY UNTIL CLASS options: a job every so many seconds.
        Map<String, String> o = options(a, 5);
        o.put("class", a[4]);
        long every = ms(a[2]);
        int n = Integer.parseInt(a[1]);
        for (long at = w.sim.now; at < ms(a[3]); at += every) {
          String id = "wk-" + n++;
          w.sim.at(at, () -> w.users.submit(id, plan(o)));
        }
      }
      case "resubmit" -> w.users.resubmit(a[1]);
      case "ask" -> w.users.ask(a[1]);
      case "cancel" -> w.users.cancel(a[1]);
      case "crash" -> who(w, a[1]).forEach(n -> n.crash(ms(a.length > 2 ? a[2] : "4")));
      case "freeze" -> {
        w.checker.trouble(w.sim.now + ms(a[2]));
        who(w, a[1]).forEach(n -> n.frozenUntil = w.sim.now + ms(a[2]));
      }
      case "cut" -> who(w, a[1]).forEach(n -> w.cut(n, a[2], ms(a[3]), mode(a, 4)));
      case "outage" -> {
        w.checker.trouble(w.sim.now + ms(a[2]));
        if (a[1].equals("state")) {
          w.store.outage(ms(a[2]));
        } else {
          w.cloud.outage(ms(a[2]));
        }
      }
      case "zonecut" ->
          who(w, a[1]).stream()
              .findFirst()
              .ifPresent(n -> w.cutZone(n.zone, null, ms(a[2]), mode(a, 3)));
      case "partition" -> w.cutZone(a[1], a[2], ms(a[3]), mode(a, 4));
      case "hang" -> machines(w, a[1]).forEach(x -> x.hang(ms(a[2])));
      case "silence" ->
          machines(w, a[1]).forEach(x -> w.cutWorker(x, "worker", ms(a[2]), mode(a, 3)));
      case "deafen" ->
          machines(w, a[1]).forEach(x -> w.cutWorker(x, "answers", ms(a[2]), mode(a, 3)));
      case "copies" -> w.copies(ms(a[1]), Double.parseDouble(a[2]), a.length > 3);
      case "mute" ->
          machines(w, a[1]).forEach(x -> w.cutWorker(x, "reports", ms(a[2]), mode(a, 3)));
      case "copies-for-next" -> w.copiesForNext(ms(a[1]));
      case "late-writes" ->
          w.lateWrites(Double.parseDouble(a[1]), ms(a[2]), a.length > 3 && a[3].equals("at-once"));
      case "lower-limits" -> w.lowerLimits();
      // version WHO LEVELS: from its next start on.
      case "version" ->
          who(w, a[1]).forEach(n -> w.rollouts.version(n.index, Rollouts.Version.of(a[2])));
      // roll WHO LEVELS S: ends, and is back as that version.
      case "roll" ->
          who(w, a[1])
              .forEach(
                  n -> {
                    w.rollouts.version(n.index, Rollouts.Version.of(a[2]));
                    n.crash(ms(a[3]));
                  });
      // order WHO ID KIND [LEVEL]: an operator's order, until it is answered.
      case "order" -> {
        int level = a.length > 4 ? Integer.parseInt(a[4]) : -1;
        OrderKind kind = OrderKind.valueOf(a[3].toUpperCase(java.util.Locale.ROOT));
        who(w, a[1]).forEach(n -> w.rollouts.order(n.index, a[2], kind, level));
      }
      // share-order WHO ID set|move|abort key=value…: an operator's order, until it is answered.
      case "share-order" ->
          who(w, a[1]).forEach(n -> w.shares.order(n.index, a[2], a[3], options(a, 4)));
      // settings WHO SETTING: VALUE, from its next start on.
      case "settings" -> {
        String text = line.substring(line.indexOf(a[1], line.indexOf("settings")) + a[1].length());
        who(w, a[1]).forEach(n -> w.rollouts.settings(n.index, text));
      }
      // write-key KEY JSON: as a stranger would.
      case "write-key" ->
          w.store.poke(
              a[1],
              Json.parse(
                  line.substring(line.indexOf(a[1]) + a[1].length())
                      .trim()
                      .getBytes(StandardCharsets.UTF_8)));
      case "slow" -> w.slow(Double.parseDouble(a[1]), ms(a[2]));
      case "cancel-now" -> w.users.cancelNow(Integer.parseInt(a[1]), a.length > 2 ? ms(a[2]) : 0);
      case "cancel-each" -> {
        // cancel-each CLASS AFTER FOR: each job of the class is called off so long after it came.
        w.users.cancelEach(a[1], ms(a[2]));
        w.sim.after(ms(a[3]), () -> w.users.cancelEach("", 0));
      }
      case "cancel-at-end" -> w.users.cancelAtEnd(Double.parseDouble(a[1]), ms(a[2]));
      case "close-looks" -> w.users.closeLooks(ms(a[1]));
      case "odd-requests" -> w.users.oddRequests(ms(a[1]));
      case "unheard" -> w.unheard.add(a[1]);
      case "sick" -> machines(w, a[1]).forEach(x -> x.sick = true);
      case "take" -> machines(w, a[1]).forEach(x -> w.cloud.take(x.name));
      case "notice" ->
          machines(w, a[1])
              .forEach(
                  x -> {
                    x.notice = Double.parseDouble(a[2]);
                    w.sim.after(ms(a[2]), () -> w.cloud.take(x.name));
                  });
      case "capacity" -> w.cloud.capacity = Integer.parseInt(a[1]);
      case "rogue" -> {
        // Another process has written the record: at a higher, equal or lower epoch.
        ObjectNode r = w.store.peek("j/" + a[1]).deepCopy();
        r.put("e", r.path("e").asLong() + Long.parseLong(a[2])).put("w", "stranger");
        w.store.poke("j/" + a[1], r);
      }
      case "drop" -> w.store.poke("j/" + a[1], null);
      case "expect" -> expect(w, a, line);
      default -> throw new IllegalArgumentException(name + ": " + line);
    }
  }

  private static List<Worker> machines(World w, String s) {
    if (s.equals("all")) {
      return new ArrayList<>(w.workers.values());
    }
    if (s.startsWith("zone=")) {
      return w.workers.values().stream().filter(x -> x.zone.equals(s.substring(5))).toList();
    }
    if (s.startsWith("of=")) {
      Worker x = w.runs(s.substring(3));
      return x == null ? List.of() : List.of(x);
    }
    Worker x = w.workers.get(s);
    return x == null ? List.of() : List.of(x);
  }

  private void expect(World w, String[] a, String line) {
    Boolean ofRollout = w.rollouts.holds(a);
    if (ofRollout != null) {
      if (!ofRollout) {
        failures.add("not so: " + line + " " + w.rollouts);
      }
      return;
    }
    Boolean ofShares = w.shares.holds(a);
    if (ofShares != null) {
      if (!ofShares) {
        failures.add("not so: " + line + " " + w.shares);
      }
      return;
    }
    boolean ok =
        switch (a[1]) {
          case "done", "withdrawn" ->
              Arrays.stream(a[2].split(",")).allMatch(j -> w.checker.told(j).equals(a[1]));
          // Done, or cancelled where its user asked for it.
          case "over" ->
              Arrays.stream(a[2].split(","))
                  .map(w.checker::told)
                  .allMatch(t -> t.equals("done") || t.equals("withdrawn"));
          // Or never accepted, in troubles that lasted for as long as its user tried.
          case "over-or-refused" ->
              Arrays.stream(a[2].split(","))
                  .allMatch(
                      j ->
                          w.checker.told(j).equals("done")
                              || w.checker.told(j).equals("withdrawn")
                              || (w.checker.told(j).equals("unknown")
                                  && w.users.gaveUp.contains(j)));
          case "accepted" ->
              Arrays.stream(a[2].split(",")).noneMatch(j -> w.checker.told(j).equals("unknown"));
          case "status" -> w.users.statuses.getOrDefault(a[2], 0) == Integer.parseInt(a[3]);
          case "epoch" -> w.store.peek("epoch").path("v").asLong() >= Long.parseLong(a[2]);
          case "epoch-below" -> w.store.peek("epoch").path("v").asLong() < Long.parseLong(a[2]);
          case "kills-below" -> w.leaseKills < Integer.parseInt(a[2]);
          case "final" ->
              Arrays.stream(a[2].split(","))
                  .allMatch(j -> w.store.peek("f/" + j).path("p").asText().equals(a[3]));
          case "begun-before" -> w.checker.begunBefore(a[2], a[3]);
          case "machines-below" -> w.cloud.size() < Integer.parseInt(a[2]);
          case "machines-above" -> w.cloud.size() > Integer.parseInt(a[2]);
          case "gone" -> w.cloud.releasedEver.contains(a[2]);
          case "starts-above" -> w.checker.starts > Integer.parseInt(a[2]);
          case "looks-per-round-below" -> w.looksPerRound() < Integer.parseInt(a[2]);
          case "starts-below" -> w.checker.starts < Integer.parseInt(a[2]);
          case "news-below" -> w.mostNews < Integer.parseInt(a[2]);
          case "requests-below" -> w.store.requests < Integer.parseInt(a[2]);
          case "starts-of" ->
              w.checker.startsOf(a[2]) >= Integer.parseInt(a[3])
                  && w.checker.startsOf(a[2]) <= Integer.parseInt(a[4]);
          case "late-starts-below" -> w.checker.startsAfterCancel < Integer.parseInt(a[2]);
          case "full-below" -> w.refusedFull < Integer.parseInt(a[2]);
          case "log" -> {
            String text = line.substring(line.indexOf(" log ") + 5).trim();
            yield w.logs.stream().anyMatch(l -> l.contains(text));
          }
          case "nolog" -> {
            String text = line.substring(line.indexOf(" nolog ") + 7).trim();
            yield w.logs.stream().noneMatch(l -> l.contains(text));
          }
          case "owner-known" -> w.owner(0) != null;
          default -> throw new IllegalArgumentException(name + ": " + line);
        };
    if (!ok) {
      String more =
          switch (a[1]) {
            case "looks-per-round-below" -> " [" + w.looksPerRound() + "]";
            case "news-below" -> " [" + w.mostNews + "]";
            case "requests-below" -> " [" + w.store.requests + "]";
            case "starts-above", "starts-below" -> " [" + w.checker.starts + "]";
            case "late-starts-below" -> " [" + w.checker.startsAfterCancel + "]";
            case "kills-below" -> " [" + w.leaseKills + "]";
            default -> jobStates(w, a);
          };
      failures.add("not so: " + line + more);
    }
  }

  private static String jobStates(World w, String[] a) {
    StringBuilder b = new StringBuilder();
    if (a.length > 2) {
      for (String j : a[2].split(",")) {
        if (w.plans.containsKey(j)) {
          b.append(" [").append(j).append(' ').append(w.checker.told(j)).append(' ');
          b.append(
              w.store.peek("j/" + j).isMissingNode()
                  ? ""
                  : Json.object().set("r", w.store.peek("j/" + j)).toString());
          b.append(']');
        }
      }
    }
    return b.toString();
  }
}
