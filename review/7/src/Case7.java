package standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A machine stops, and the shard's owner crashes when the cloud has taken the machine back: does the
 * job that ran there wait for 90 s after that, while other machines have room for it?
 */
public final class Case7 {
  private static final String JOB = "wk-000001";
  /** How soon a process may be back: "now and then within a fraction of a second". */
  private static final double RESTART_S = 0.5;
  private static final double WAIT_S = 90;
  private static final double MARGIN_S = 0.5;
  private static final double POLL_S = 5;
  private static final double CPUS = 4;

  private Case7() {}

  public static void main(String[] arguments) {
    Case.main(
        arguments, Deployments.compas(), Case7::run, "mvd-centro", "mvd-este", "sao-sur");
  }

  private static boolean run(Site site, boolean trouble) {
    Deployments.addCompasMachines(site.cloud);
    site.startControllers();
    Case.require(site.awaitReady(15), "no controller serves");
    // Long tasks keep the machines; on each there is room for the job's one task beside.
    ObjectNode others = Site.job("wk-000002", "metronome-drift", Deployments.COMPAS_TEAM, 5);
    others.put("urgency", "low").put("cpus", 10.0).put("memoryGb", 4.0).put("guessS", 300.0);
    Case.require(site.submit(others, 300).status() == 201, "the long job is not accepted");
    Case.require(
        Site.await(8, () -> site.cloud.hosts.values().stream().allMatch(h -> usedCpus(h) == 10)),
        "the long tasks do not start");
    ObjectNode job = Site.job(JOB, "recital-cut", Deployments.COMPAS_TEAM, 1);
    job.put("urgency", "urgent").put("cpus", CPUS).put("memoryGb", 4.2).put("guessS", 300.0);
    Case.require(site.submit(job, 300).status() == 201, "the job is not accepted");
    Case.require(Site.await(8, () -> hostOf(site) != null), "the job does not start");
    Cloud.Host stopped = hostOf(site);
    AtomicBoolean isTakenBack = new AtomicBoolean();
    Site.Controller owner = owner(site);
    site.cloud.onReleased =
        () -> {
          if (stopped.goneAt < Double.MAX_VALUE && isTakenBack.compareAndSet(false, true)) {
            if (trouble) {
              Site.pause(0.05);
              owner.kill();
            }
          }
        };
    stopped.worker.die();
    Case.require(Site.await(25, isTakenBack::get), "the machine is not returned to the cloud");
    if (trouble) {
      Case.require(Site.await(2, () -> !owner.process.isAlive()), "the owner does not end");
      Site.pause(RESTART_S);
      owner.start();
    }
    Case.require(Site.await(10, () -> site.isHealthy(owner)), "the owner does not come back");
    double over = Record.now();
    double nextPollAt = over;
    site.record.say("all troubles are over; machines with room: %s", room(site, stopped));
    while (Record.now() < over + WAIT_S + MARGIN_S) {
      if (hostOf(site) != null) {
        site.record.say("the task is on %s after %.1f s", hostOf(site).name, Record.now() - over);
        return true;
      }
      Case.require(!room(site, stopped).isEmpty(), "no other machine has room");
      Site.pause(0.05);
      if (Record.now() >= nextPollAt) {
        nextPollAt += POLL_S;
        site.poll(JOB);
        site.record.add("machines with room: %s", room(site, stopped));
      }
    }
    site.record.say(
        "the job has waited for %.1f s: %s; machines with room: %s",
        Record.now() - over, site.poll(JOB), room(site, stopped));
    return false;
  }

  /** Returns the machine that has the job's task, or null. */
  private static Cloud.Host hostOf(Site site) {
    for (Cloud.Host host : site.cloud.hosts.values()) {
      if (host.worker.here().stream().anyMatch(task -> task.jobId().equals(JOB))) {
        return host;
      }
    }
    return null;
  }

  private static Site.Controller owner(Site site) {
    String stored = site.state.get("part/0");
    return site.controllers.stream()
        .filter(controller -> stored.contains('"' + controller.label + '"'))
        .findFirst()
        .orElseThrow(() -> new Case.CannotRunException("the shard has no owner"));
  }

  private static double usedCpus(Cloud.Host host) {
    return host.worker.here().stream()
        .mapToDouble(task -> task.job.spec().path("cpus").asDouble())
        .sum();
  }

  /** Returns the other machines on which the job's task fits now. */
  private static List<String> room(Site site, Cloud.Host except) {
    return site.cloud.hosts.values().stream()
        .filter(host -> host != except && host.goneAt == Double.MAX_VALUE)
        .filter(host -> host.type.cpus() - usedCpus(host) >= CPUS)
        .map(host -> host.name + " with " + (host.type.cpus() - usedCpus(host)) + " CPUs free")
        .toList();
  }
}
