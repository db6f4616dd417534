package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.bookkeeping.JobRecord;

/** Watches the rules at every step, from outside the service. */
final class Checker {
  private final World world;
  final List<String> broken = new ArrayList<>();
  private final Map<String, Set<Worker>> on = new HashMap<>();
  private final Map<String, Double> teamCpus = new HashMap<>();
  private final Map<String, Long> toldCancelled = new HashMap<>();
  private final Map<String, String> toldFinal = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  int starts;

  Checker(World world) {
    this.world = world;
    watchCancelled();
  }

  void broken(String what) {
    if (broken.size() < 20) {
      broken.add(String.format("%.2f s: %s", world.sim.now / 1000.0, what));
    }
  }

  void started(Worker w, Worker.Task t) {
    starts++;
    String job = t.job();
    World.JobPlan plan = world.plans.get(job);
    Set<Worker> at = on.computeIfAbsent(t.piece, k -> new HashSet<>());
    if (!at.isEmpty()) {
      broken("ran_twice: " + t.piece + " starts on " + w.name + " while on " + names(at));
    }
    at.add(w);
    double cpus = teamCpus.merge(plan.team, plan.cpus, Double::sum);
    Double max = world.teamMax.get(plan.team);
    if (max != null && max > 0 && cpus > max + 1e-9) {
      broken("quota: team " + plan.team + " uses " + cpus + " of " + max);
    }
    if ((plan.site != null && !plan.site.equals(w.zone))
        || (!plan.spot && w.spot)
        || (plan.hosttype != null && !plan.hosttype.equals(w.type))) {
      broken("wrong_place: " + t.piece + " on " + w.name);
    }
    int inZone = 0;
    for (Map.Entry<String, Set<Worker>> e : on.entrySet()) {
      if (e.getKey().startsWith(job + "/")) {
        for (Worker x : e.getValue()) {
          if (plan.together && !x.zone.equals(w.zone)) {
            broken("wrong_place: " + t.piece + " apart from " + e.getKey());
          }
          if (x.zone.equals(w.zone)) {
            inZone++;
          }
        }
      }
    }
    if (plan.spread && inZone > (plan.pieces + 1) / 2) {
      broken("wrong_place: " + inZone + " of " + plan.pieces + " of " + job + " in " + w.zone);
    }
    Long told = toldCancelled.get(job);
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
    for (JobRecord.LiveRange l : r.live()) {
      named |=
          l.host().value().equals(w.name)
              && l.attempt().value() == attempt
              && l.tenure().value() == w.tenure
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
    }
    World.JobPlan plan = world.plans.get(t.job());
    teamCpus.merge(plan.team, -plan.cpus, Double::sum);
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

  void answer(String what, String job, int status, JsonNode body) {
    boolean known = world.plans.containsKey(job) && world.submitted.contains(job);
    if (status == 404 && accepted.contains(job)) {
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
    accepted.add(job);
    String phase = body.path("phase").asText();
    String was = toldFinal.get(job);
    if (was != null && !was.equals(phase)) {
      broken("went_back: " + job + " was " + was + ", is " + phase);
    }
    if (phase.equals("done")) {
      for (int i = 0; i < world.plans.get(job).pieces; i++) {
        if (!world.results.contains(job + "/" + i)) {
          broken("not_done: " + job + "/" + i);
          break;
        }
      }
      toldFinal.put(job, phase);
    } else if (phase.equals("withdrawn")) {
      if (!world.cancelAsked.contains(job)) {
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
