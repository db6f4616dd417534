package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.storage.JobRecord;

/** Watches the rules at every step, from outside the service. */
final class Checker {
  private static final long UNANSWERED_MS = 75_000;
  private static final long BEGIN_MS = 240_000;
  private static final long FAIR_MS = 60_000;

  /** An election, a mint and a rebuild take no longer. */
  private static final long TAKEOVER_MS = 15_000;

  private final World world;
  final List<String> broken = new ArrayList<>();
  private final Map<String, Set<Worker>> on = new HashMap<>();
  private final Map<String, Double> teamCpus = new HashMap<>();
  private final Map<String, Long> toldCancelled = new HashMap<>();
  private final Map<String, String> toldFinal = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();

  /** When a job was first submitted, and how long after that its user was told it is accepted. */
  record Acceptance(long submittedAt, long afterMs) {}

  final List<Acceptance> acceptances = new ArrayList<>();
  private final Map<String, Long> askedInVainSince = new HashMap<>();
  private final Map<String, Long> begunAt = new HashMap<>();
  private final Map<String, Integer> startsOf = new HashMap<>();
  private final Map<String, Long> submittedAt = new HashMap<>();

  /** What users have been told of a job: whether it is accepted, how it ended, what is done. */
  record Told(boolean accepted, String end, int done, long at) {}

  private final Map<String, Integer> toldDone = new HashMap<>();

  /** Starts of jobs after a user was told that they are cancelled. */
  int startsAfterCancel;

  /** Since when a job waits although a machine that fits has room. */
  private final Map<String, Long> idleSince = new HashMap<>();

  /** When the last trouble known so far is over. */
  private long troublesOver;

  int starts;

  Checker(World world) {
    this.world = world;
    watchCancelled();
    watchWaiting();
  }

  void broken(String what) {
    if (broken.size() < 20) {
      broken.add(String.format("%.2f s: %s", world.sim.now / 1000.0, what));
    }
  }

  /** How many jobs have been told done or cancelled. */
  int finalAnswers() {
    return toldFinal.size();
  }

  int startsOf(String job) {
    return startsOf.getOrDefault(job, 0);
  }

  /** Whether the first job's first task started before the second's. */
  boolean begunBefore(String one, String other) {
    return begunAt.getOrDefault(one, Long.MAX_VALUE) < begunAt.getOrDefault(other, Long.MAX_VALUE);
  }

  /** Never may two processes command the same shard, under whichever epochs. */
  void oneOwner(World.Node node) {
    for (var shard : node.commanded().entrySet()) {
      for (World.Node other : world.nodes) {
        if (other != node && other.commanded().containsKey(shard.getKey())) {
          broken(
              "two_owners: %s at %s and %s at %s"
                  .formatted(
                      node.label,
                      shard.getValue(),
                      other.label,
                      other.commanded().get(shard.getKey())));
        }
      }
    }
  }

  /** Never may two processes command the same machine, as owners of whichever shards. */
  void oneCommander(World.Node node) {
    for (MachineName machine : node.commandedMachines()) {
      Worker worker = world.workers.get(machine.value());
      if (worker == null || worker.dead) {
        // Gone: a list that lags may bring its name back.
        continue;
      }
      for (World.Node other : world.nodes) {
        if (other != node && other.commandedMachines().contains(machine)) {
          broken("two_commanders: %s at %s and %s".formatted(machine, node.label, other.label));
        }
      }
    }
  }

  void trouble(long until) {
    troublesOver = Math.max(troublesOver, until);
  }

  /** Whether some trouble is not over, or has just been: a takeover may still be under way. */
  boolean troubled() {
    return world.sim.now < troublesOver + TAKEOVER_MS;
  }

  void submitted(String job) {
    submittedAt.putIfAbsent(job, world.sim.now);
  }

  /** A question about a job, and whether it got an answer. */
  void asked(String job, long at, boolean answered) {
    if (answered) {
      askedInVainSince.remove(job);
    } else if (at >= troublesOver && accepted.contains(job)) {
      long since = askedInVainSince.computeIfAbsent(job, k -> at);
      if (at - since > UNANSWERED_MS) {
        broken("forgotten: no question about " + job + " is answered");
      }
    }
  }

  /** What is looked at when the day is over. */
  void end() {
    Map<String, List<String>> groups = new HashMap<>();
    for (String job : accepted) {
      JobPlan p = world.plans.get(job);
      if (world.withNeeds(job).stream().anyMatch(world.cancelAsked::contains)) {
        continue;
      }
      if (world.store.peek(JobRecord.LIVE + job).isMissingNode()
          && world.store.peek(JobRecord.FINAL + job).isMissingNode()) {
        broken("forgotten: " + job + " is not in the store at the end");
      }
      // What came late has not had its time.
      if (world.sim.now - submittedAt.get(job) > FAIR_MS && !p.faulty()) {
        groups.computeIfAbsent("class " + p.jobClass(), k -> new ArrayList<>()).add(job);
        groups.computeIfAbsent("team " + p.team(), k -> new ArrayList<>()).add(job);
      }
    }
    for (String g : new ArrayList<>(groups.keySet())) {
      if (g.startsWith("class ")) {
        List<String> l = new ArrayList<>(groups.get(g));
        l.sort(java.util.Comparator.comparingInt(j -> -world.plans.get(j).tasks()));
        groups.put("largest of " + g, l.subList(0, (l.size() + 3) / 4));
      }
    }
    groups.forEach(
        (g, jobs) -> {
          long served =
              jobs.stream()
                  .filter(j -> "done".equals(toldFinal.get(j)) || begunAt.containsKey(j))
                  .count();
          if (served * 2 < jobs.size()) {
            broken("unserved: " + served + " of " + jobs.size() + " of " + g);
          }
          if (g.startsWith("largest")) {
            for (String j : jobs) {
              if (!world.plans.get(j).dependencies().isEmpty()) {
                continue;
              }
              long begun = begunAt.getOrDefault(j, world.sim.now);
              if (begun - submittedAt.get(j) > BEGIN_MS) {
                broken("late: " + j + " of " + g + " not begun within four minutes");
              }
            }
          }
        });
  }

  void started(Worker w, Worker.Task t) {
    starts++;
    String job = t.job();
    begunAt.putIfAbsent(job, world.sim.now);
    startsOf.merge(job, 1, Integer::sum);
    JobPlan plan = world.plans.get(job);
    for (String needed : plan.dependencies()) {
      JsonNode end = world.store.peek(JobRecord.FINAL + needed);
      if (!"done".equals(end.path("p").asText())) {
        broken("too_early: " + t.piece + " starts and " + needed + " is not recorded as done");
      }
    }
    Set<Worker> at = on.computeIfAbsent(t.piece, k -> new HashSet<>());
    if (!at.isEmpty()) {
      broken("ran_twice: " + t.piece + " starts on " + w.name + " while on " + names(at));
    }
    at.add(w);
    double cpus = teamCpus.merge(plan.team(), plan.cpus(), Double::sum);
    Double max = world.teamMax.get(plan.team());
    if (max != null && max > 0 && cpus > max + 1e-9) {
      broken("quota: team " + plan.team() + " uses " + cpus + " of " + max);
    }
    if ((plan.zone() != null && !plan.zone().equals(w.zone))
        || (!plan.spot() && w.spot)
        || (plan.machineType() != null && !plan.machineType().equals(w.type))) {
      broken("wrong_place: " + t.piece + " on " + w.name);
    }
    int inZone = 0;
    for (Map.Entry<String, Set<Worker>> e :
        plan.together() || plan.spread()
            ? on.entrySet()
            : Set.<Map.Entry<String, Set<Worker>>>of()) {
      if (e.getKey().startsWith(job + "/")) {
        for (Worker x : e.getValue()) {
          if (plan.together() && !x.zone.equals(w.zone)) {
            broken("wrong_place: " + t.piece + " apart from " + e.getKey());
          }
          if (x.zone.equals(w.zone)) {
            inZone++;
          }
        }
      }
    }
    if (plan.spread() && inZone > (plan.tasks() + 1) / 2) {
      broken("wrong_place: " + inZone + " of " + plan.tasks() + " of " + job + " in " + w.zone);
    }
    Long told = toldCancelled.get(job);
    startsAfterCancel += told == null ? 0 : 1;
    if (told != null && world.sim.now - told > world.cancelS * 1000) {
      broken("ran_cancelled: " + t.piece + " starts on " + w.name);
    }
  }

  /** The design's own order: record first, then command; recorded first, then reaped. */
  void commanded(Worker w, String piece, long attempt, boolean start) {
    String job = piece.substring(0, piece.lastIndexOf('/'));
    int index = Integer.parseInt(piece.substring(piece.lastIndexOf('/') + 1));
    JobRecord r = JobRecord.read(world.store.peek(JobRecord.LIVE + job));
    if (r == null) {
      return;
    }
    boolean named = false;
    for (JobRecord.AttemptRange l : r.live()) {
      named |=
          l.host().value().equals(w.name)
              && l.attempt().value() == attempt
              && l.incarnation().value() == w.incarnation
              && index >= l.first()
              && index < l.first() + l.count()
              && !r.done().get(index);
    }
    if (start && !named) {
      broken("started before recorded: " + piece + " on " + w.name);
    } else if (!start && named) {
      broken("reaped before recorded: " + piece + " on " + w.name);
    }
  }

  private static String names(Set<Worker> s) {
    StringBuilder b = new StringBuilder();
    s.forEach(w -> b.append(w.name).append(' '));
    return b.toString().trim();
  }

  void stopped(Worker w, Worker.Task t) {
    Set<Worker> at = on.get(t.piece);
    if (at != null) {
      at.remove(w);
      if (at.isEmpty()) {
        on.remove(t.piece);
      }
    }
    JobPlan plan = world.plans.get(t.job());
    teamCpus.merge(plan.team(), -plan.cpus(), Double::sum);
  }

  private void watchCancelled() {
    toldCancelled.forEach(
        (job, at) -> {
          if (world.sim.now - at > world.cancelS * 1000) {
            on.forEach(
                (piece, ws) -> {
                  if (piece.startsWith(job + "/") && !ws.isEmpty()) {
                    broken("ran_cancelled: " + piece + " is on " + names(ws));
                  }
                });
          }
        });
    world.sim.after(500, this::watchCancelled);
  }

  /** To be taken when a request is sent: an answer to it may not be older. */
  Told toldSoFar(String job) {
    return new Told(
        accepted.contains(job), toldFinal.get(job), toldDone.getOrDefault(job, 0), world.sim.now);
  }

  /** Whether this phase is an end that nobody was told of before. */
  boolean endsNow(String job, String phase) {
    return ended.add(job + phase) && (phase.equals("done") || phase.equals("withdrawn"));
  }

  private final Set<String> ended = new HashSet<>();

  /**
   * An answer may not be older than any that was received before its request was sent. Requests
   * that overlap may be answered in either order; two different ends are wrong in any.
   */
  private void older(String what, String job, int status, JsonNode body, Told before) {
    String phase = body.path("phase").asText();
    boolean ok = status == 200 || status == 201;
    if (ok && before.end != null && !before.end.equals(phase)) {
      broken("went_back: " + what + " " + job + " is " + phase + " after " + before.end);
    } else if (ok && body.has("done") && body.path("done").asInt() < before.done) {
      broken("older: " + what + " " + job + " has " + body.path("done") + " after " + before.done);
    }
    if (ok && body.has("done")) {
      toldDone.merge(job, body.path("done").asInt(), Math::max);
    }
  }

  /** No job waits for 90 s while a machine that fits has room and its team is under its limit. */
  private void watchWaiting() {
    if (world.sim.now >= troublesOver) {
      for (String job : accepted) {
        JobPlan p = world.plans.get(job);
        if (!waits(job, p) || world.workers.values().stream().noneMatch(w -> fits(w, p))) {
          idleSince.remove(job);
          continue;
        }
        if (world.sim.now - idleSince.computeIfAbsent(job, k -> world.sim.now) > WAIT_MS) {
          broken("waits: " + job + " for 90 s while a machine that fits has room");
          idleSince.remove(job);
        }
      }
    } else {
      idleSince.clear();
    }
    world.sim.after(1000, this::watchWaiting);
  }

  private boolean waits(String job, JobPlan p) {
    Set<String> chain = world.withNeeds(job);
    if (toldFinal.containsKey(job)
        || chain.stream().anyMatch(world.cancelAsked::contains)
        || p.dependencies().stream().anyMatch(n -> !"done".equals(toldFinal.get(n)))
        || p.faulty()) {
      return false;
    }
    Double max = world.teamMax.get(p.team());
    if (max != null && max > 0 && teamCpus.getOrDefault(p.team(), 0.0) + p.cpus() > max + 1e-9) {
      return false;
    }
    int busy = 0;
    for (int i = 0; i < p.tasks(); i++) {
      busy += world.results.contains(job + "/" + i) || on.containsKey(job + "/" + i) ? 1 : 0;
    }
    return busy < p.tasks() && !p.together() && !p.spread();
  }

  private boolean fits(Worker w, JobPlan p) {
    return !w.dead
        && !w.hung()
        && !w.sick
        && (p.zone() == null || p.zone().equals(w.zone))
        && (p.spot() || !w.spot)
        && (p.machineType() == null || p.machineType().equals(w.type))
        && w.freeCpus() >= p.cpus() - 1e-9;
  }

  private static final long WAIT_MS = 90_000;

  void answer(String what, String job, int status, JsonNode body, Told before) {
    if (what.equals("odd")) {
      return;
    }
    older(what, job, status, body, before);
    boolean known = world.plans.containsKey(job) && world.submitted.contains(job);
    if (status == 404 && before.accepted) {
      broken("forgotten: " + what + " " + job + " gets 404");
    }
    if ((status == 400 || status == 422) && what.equals("submit") && accepted.contains(job)) {
      broken("forgotten: submitting " + job + " again gets " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!known) {
      broken("invented: " + job);
      return;
    }
    if (accepted.add(job)) {
      long submitted = submittedAt.getOrDefault(job, world.sim.now);
      acceptances.add(new Acceptance(submitted, world.sim.now - submitted));
    }
    for (String needed : world.withNeeds(job)) {
      Long cancelled = toldCancelled.get(needed);
      if (cancelled != null
          && !body.path("phase").asText().equals("withdrawn")
          && before.at > cancelled + world.cancelS * 1000) {
        broken("orphaned: " + job + " is " + body.path("phase") + ", " + needed + " is cancelled");
      }
    }
    String phase = body.path("phase").asText();
    String was = toldFinal.get(job);
    boolean end = phase.equals("done") || phase.equals("withdrawn");
    if (was != null && end && !was.equals(phase)) {
      broken("went_back: " + job + " was " + was + ", is " + phase);
    }
    if (phase.equals("done")) {
      for (int i = 0; i < world.plans.get(job).tasks(); i++) {
        if (!world.results.contains(job + "/" + i)) {
          broken("not_done: " + job + "/" + i);
          break;
        }
      }
      toldFinal.put(job, phase);
    } else if (phase.equals("withdrawn")) {
      if (world.withNeeds(job).stream().noneMatch(world.cancelAsked::contains)) {
        broken("went_back: " + job + " cancelled unasked");
      }
      toldFinal.put(job, phase);
      toldCancelled.putIfAbsent(job, world.sim.now);
    }
  }

  boolean accepted(String job) {
    return accepted.contains(job);
  }

  String told(String job) {
    return toldFinal.getOrDefault(job, accepted.contains(job) ? "accepted" : "unknown");
  }
}
