package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * A job with spread, all controllers crash while the cloud's interface is down: are more than half
 * of the job's tasks in one zone afterwards? Plays several fleets one after the other.
 */
public final class Case6 {
  private static final int ROUNDS = 6;
  private static final int PIECES = 16;
  private static final int MOST_IN_ZONE = (PIECES + 1) / 2;
  private static final double CRASH_AFTER_S = 5;
  private static final double RESTART_S = 5;
  private static final double WATCH_S = 3;

  private Case6() {}

  public static void main(String[] arguments) throws IOException {
    Case.main(arguments, Deployments.frostline(), Case6::run, "rack-north", "rack-south");
  }

  private static boolean run(Site unused, boolean trouble) throws IOException {
    int broken = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      JsonNode settings = Deployments.frostline();
      try (Site site = new Site(unused.record, settings, 3, "rack-north", "rack-south")) {
        int most = play(site, trouble);
        site.record.say(
            "round %d: at most %d of %d tasks in rack-north at a time, %d are allowed",
            round, most, PIECES, MOST_IN_ZONE);
        broken += most > MOST_IN_ZONE ? 1 : 0;
      }
    }
    unused.record.say("broken in %d of %d rounds", broken, ROUNDS);
    return broken == 0;
  }

  private static int play(Site site, boolean trouble) {
    Deployments.addFrostlineMachines(site.cloud);
    site.startControllers();
    Case.require(site.awaitReady(20), "no controller serves");
    ObjectNode job = Site.job("wk-000001", "trace-ingest", Deployments.TEAM, PIECES);
    job.put("cpus", 8.0).put("memoryGb", 7.4).put("spread", true).put("guessS", 60.0);
    job.putArray("hosttypes").add("pod8").add("pod16");
    Case.require(site.submit(job, 60).status() == 201, "the job is not accepted");
    Case.require(
        Site.await(10, () -> inNorth(site) >= MOST_IN_ZONE), "half of the job does not start");
    Site.pause(CRASH_AFTER_S);
    site.record.add("machines that the state service names: %s", site.state.all("hosts/"));
    if (trouble) {
      site.record.add("the cloud's interface is down from now on");
      site.cloud.isDown = true;
      site.controllers.forEach(Site.Controller::kill);
      Site.pause(RESTART_S);
      site.startControllers();
    }
    int most = 0;
    double until = Record.now() + WATCH_S;
    while (Record.now() < until) {
      Site.pause(0.02);
      most = Math.max(most, inNorth(site));
    }
    return most;
  }

  /** Returns how many of the job's tasks are on machines of the zone, with their image. */
  private static int inNorth(Site site) {
    int tasks = 0;
    for (Cloud.Host host : site.cloud.hosts.values()) {
      if (host.site.equals("rack-north")) {
        tasks += (int) host.worker.here().stream().filter(t -> t.phase.equals("running")).count();
      }
    }
    return tasks;
  }
}
