package standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Four jobs of 100,000 small tasks: does a controller end by itself? */
public final class Case4 {
  private static final int PIECES = 100_000;
  private static final double SMALL = 0.0001;
  private static final double RESTART_S = 5;
  private static final double WATCH_S = 75;
  private static final Set<String> BEGUN = new HashSet<>();

  private Case4() {}

  public static void main(String[] arguments) {
    Case.main(arguments, Deployments.frostline(), Case4::run, "rack-north", "rack-south");
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
    for (int i = 2; i <= 5; i++) {
      ObjectNode job = Site.job("wk-00000" + i, "battery-audit", Deployments.TEAM, PIECES);
      job.put("urgency", "low").put("guessS", 5.0);
      job.put("cpus", trouble ? SMALL : 1.0).put("memoryGb", trouble ? SMALL : 1.0);
      site.record.say("job %s: %s", i, site.submit(job, 5));
    }
    int ends = watch(site);
    site.record.say("controllers ended by themselves: %d times", ends);
    ObjectNode last = Site.job("wk-000009", "excursion-alert", Deployments.TEAM, 1);
    site.record.say("a further job: %s", site.submit(last.put("urgency", "urgent"), 1));
    boolean isDone = Site.await(15, () -> site.poll("wk-000009").phase().equals("done"));
    site.record.say("the further job is done within 15 s: %s", isDone);
    begun(site).forEach(BEGUN::add);
    site.record.say("tasks of the four jobs that were seen on machines: %d", BEGUN.size());
    site.record.say("job 2: %s", site.poll("wk-000002"));
    return ends == 0;
  }

  /** Restarts controllers that have ended, as the platform does; returns how many ended. */
  private static int watch(Site site) {
    int ends = 0;
    Map<Site.Controller, Double> endedAt = new HashMap<>();
    double until = Record.now() + WATCH_S;
    while (Record.now() < until) {
      Site.pause(0.1);
      begun(site).forEach(BEGUN::add);
      for (Site.Controller controller : site.controllers) {
        if (controller.process.isAlive()) {
          continue;
        }
        Case.require(controller.process.exitValue() != 2, "a controller could not start");
        if (endedAt.putIfAbsent(controller, Record.now()) == null) {
          ends++;
          site.record.say(
              "%s ended by itself, status %d: %s",
              controller.label, controller.process.exitValue(), lastLine(controller));
        } else if (Record.now() - endedAt.get(controller) > RESTART_S) {
          endedAt.remove(controller);
          controller.start();
        }
      }
    }
    return ends;
  }

  /** Returns the tasks of the four jobs that are on machines now. */
  private static List<String> begun(Site site) {
    return site.cloud.hosts.values().stream()
        .flatMap(host -> host.worker.here().stream())
        .map(task -> task.piece)
        .filter(piece -> piece.compareTo("wk-000002") > 0 && piece.compareTo("wk-000006") < 0)
        .toList();
  }

  private static String lastLine(Site.Controller controller) {
    String log = controller.logText().strip();
    return log.substring(log.lastIndexOf('\n') + 1);
  }
}
