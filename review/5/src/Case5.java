package standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The leading controller crashes once, soon after the fleet has started, and the cloud's interface is
 * down until it is back: does a job that is submitted afterwards have tasks that wait for 90 s, while
 * a machine that fits has room?
 */
public final class Case5 {
  private static final String JOB = "wk-000002";
  private static final int PIECES = 24;
  private static final double CPUS = 4;
  private static final double RUN_S = 2;
  private static final double RESTART_S = 5;
  private static final double WAIT_S = 90;
  private static final double MARGIN_S = 0.5;
  private static final double POLL_S = 2;

  private Case5() {}

  public static void main(String[] arguments) {
    Case.main(arguments, Deployments.frostline(), Case5::run, "rack-north", "rack-south");
  }

  private static boolean run(Site site, boolean trouble) {
    Deployments.addFrostlineMachines(site.cloud, List.of("pod8", "pod32", "pod16"));
    site.startControllers();
    Case.require(site.awaitReady(12), "no controller serves");
    ObjectNode first = Site.job("wk-000001", "battery-audit", Deployments.TEAM, 200);
    Case.require(site.submit(first, 0.2).status() == 201, "the first job is not accepted");
    Case.require(
        Site.await(12, () -> site.poll("wk-000001").phase().equals("done")),
        "the first job is not done");
    if (trouble) {
      Site.Controller leader = leader(site);
      site.record.add("the cloud's interface is down");
      site.cloud.isDown = true;
      leader.kill();
      Site.pause(RESTART_S);
      leader.start();
    }
    Case.require(
        Site.await(10, () -> site.controllers.stream().allMatch(site::isHealthy)),
        "not all controllers are healthy");
    site.cloud.isDown = false;
    site.record.say("all troubles are over");
    ObjectNode job = Site.job(JOB, "excursion-alert", Deployments.TEAM, PIECES);
    job.put("urgency", "urgent").put("cpus", CPUS).put("memoryGb", 30.0).put("guessS", RUN_S);
    job.put("loaner", false);
    job.putArray("hosttypes").add("pod32");
    Case.require(site.submit(job, RUN_S).status() == 201, "the job is not accepted");
    boolean held = watch(site);
    int dropped = site.cloud.hosts.values().stream().mapToInt(h -> h.worker.lowerTokens).sum();
    site.record.say("answers that workers dropped for their lower token: %d", dropped);
    return held;
  }

  /** Returns false if the job has had tasks waiting for 90 s while a machine that fits has room. */
  private static boolean watch(Site site) {
    double waitingSince = Record.now();
    double nextPollAt = waitingSince;
    while (Record.now() < waitingSince + WAIT_S + MARGIN_S) {
      Site.pause(0.02);
      if (room(site).isEmpty() || waitingTasks(site) == 0) {
        waitingSince = Record.now();
      }
      if (Record.now() >= nextPollAt) {
        nextPollAt += POLL_S;
        Site.Reply reply = site.poll(JOB);
        site.record.add("waiting: %d; machines with room: %s", waitingTasks(site), room(site));
        if (reply.phase().equals("done")) {
          site.record.say("the job is done");
          return true;
        }
      }
    }
    site.record.say(
        "%d tasks have waited for %.1f s: %s; machines with room: %s",
        waitingTasks(site), Record.now() - waitingSince, site.poll(JOB), room(site));
    return false;
  }

  /** Returns how many tasks of the job have no result and are on no machine. */
  private static int waitingTasks(Site site) {
    int placedOrDone = 0;
    for (int i = 0; i < PIECES; i++) {
      String piece = JOB + "/" + i;
      placedOrDone +=
          site.cloud.hosts.values().stream().anyMatch(host -> host.worker.hasOrHad(piece)) ? 1 : 0;
    }
    return PIECES - placedOrDone;
  }

  private static Site.Controller leader(Site site) {
    String stored = site.state.get("leader");
    return site.controllers.stream()
        .filter(controller -> stored.contains('"' + controller.label + '"'))
        .findFirst()
        .orElseThrow(() -> new Case.CannotRunException("nobody leads"));
  }

  /** Returns the machines on which one more of the tasks fits now. */
  private static List<String> room(Site site) {
    return site.cloud.hosts.values().stream()
        .filter(host -> host.type.sku().equals("pod32") && !host.loaner && host.goneAt == Double.MAX_VALUE)
        .filter(
            host ->
                host.type.cpus()
                        - host.worker.here().stream()
                            .mapToDouble(task -> task.job.spec().path("cpus").asDouble())
                            .sum()
                    >= CPUS)
        .map(host -> host.name)
        .toList();
  }
}
