package standin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A job of many small tasks: do answers to workers stay within 64 KiB a line, and does it run? */
public final class Case6 {
  private static final int PIECES = 9_000;
  private static final double SMALL = 0.01;
  private static final double WATCH_S = 60;

  private Case6() {}

  public static void main(String[] arguments) {
    Case.main(arguments, Deployments.frostline(), Case6::run, "rack-north", "rack-south");
  }

  private static boolean run(Site site, boolean trouble) {
    Deployments.addFrostlineMachines(site.cloud);
    site.startControllers();
    Case.require(site.awaitReady(20), "no controller serves");
    ObjectNode first = Site.job("wk-000001", "excursion-alert", Deployments.TEAM, 6);
    Case.require(site.submit(first, 2).status() == 201, "the first job is not accepted");
    Case.require(
        Site.await(15, () -> site.poll("wk-000001").phase().equals("done")),
        "the first job is not done");
    ObjectNode job = Site.job("wk-000002", "battery-audit", Deployments.TEAM, PIECES);
    job.put("urgency", "low").put("guessS", 20.0);
    job.put("cpus", trouble ? SMALL : 1.0).put("memoryGb", trouble ? SMALL : 1.0);
    job.putArray("hosttypes").add("pod32");
    Case.require(site.submit(job, 20).status() == 201, "the job is not accepted");
    int mostHere = 0;
    double until = Record.now() + WATCH_S;
    for (int round = 0; Record.now() < until; round++) {
      Site.pause(0.5);
      mostHere = Math.max(mostHere, tasksHere(site));
      if (round % 10 == 0) {
        site.record.say("tasks on machines: %d; %s", tasksHere(site), site.poll("wk-000002"));
      }
    }
    int oversized = 0;
    int longest = 0;
    for (Cloud.Host host : site.cloud.hosts.values()) {
      oversized += host.worker.oversizedAnswers;
      longest = Math.max(longest, host.worker.longestAnswer);
    }
    site.record.say("most tasks on machines at a time: %d", mostHere);
    site.record.say("answers to workers with a line above 64 KiB: %d, longest %d bytes",
        oversized, longest);
    return oversized == 0;
  }

  private static int tasksHere(Site site) {
    return site.cloud.hosts.values().stream().mapToInt(host -> host.worker.here().size()).sum();
  }
}
