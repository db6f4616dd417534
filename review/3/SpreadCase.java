import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Jobs that spread over zones run half of their tasks on machines that were just rented. While
 * writes to the state service lag, all controllers are killed and are back within a second.
 */
final class SpreadCase {
  private static final int JOBS = 12;
  private static final int TASKS = 8;
  private static final double CPUS = 4;
  private static final String ZONE = "mvd-centro";

  public static void main(String[] args) throws Exception {
    int status = 2;
    Rig.Site site = new Rig.Site();
    site.zones = new String[] {ZONE, "mvd-este"};
    site.machines = 20;
    site.reportS = 5;
    try (Rig rig = new Rig(site, Path.of(args[0]))) {
      rig.limit(117);
      if (rig.start()) {
        status = run(rig);
      }
    }
    System.exit(status);
  }

  private static int run(Rig rig) throws Exception {
    rig.onStart = (machine, piece) -> checkPlace(rig, machine, piece);
    // Fills the machines that are there: in one zone until shortly before the controllers are
    // killed, in the other for the whole run.
    Rig.sleep(3);
    List<String> fillers = new ArrayList<>();
    List<Rig.Machine> before = List.copyOf(rig.cloud.machines.values());
    for (Rig.Machine machine : before) {
      boolean first = machine.zone.equals(ZONE);
      String id = String.format("wk-1%05d", rig.runS.size());
      var job = rig.job(id, 4, CPUS, 300, List.of());
      job.put("site", machine.zone);
      rig.submit(job);
      if (first) {
        fillers.add(id);
      }
    }
    // Longer than half a lease: the next owner's token is then a change that workers report at once.
    Rig.sleep(20);
    rig.cloud.capacity.put(ZONE, JOBS);
    rig.cloud.bootS = 0.5;
    if (Rig.hasTrouble()) {
      rig.state.latePrefix = "hosts/";
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("wk-2%05d", i);
      ids.add(id);
      var job = rig.job(id, TASKS, CPUS, 300, List.of());
      job.put("spread", true);
      rig.submit(job);
    }
    while (rig.now() < 45 && !ids.stream().allMatch(id -> rig.machinesWith(id).size() > 0)) {
      Rig.sleep(0.1);
    }
    if (!ids.stream().allMatch(id -> rig.machinesWith(id).size() > 0)) {
      return 2;
    }
    rig.log("all jobs have tasks");
    // The list is "sometimes" late "by up to twice": here for twelve seconds, with trouble or not.
    rig.cloud.lagS = 2 * rig.site.listLagS - 0.5;
    double lateListsUntil = rig.now() + 12;
    Rig.sleep(0.5);
    for (Rig.Machine machine : before) {
      fillers.forEach(machine::finish);
    }
    if (Rig.hasTrouble()) {
      for (Rig.Controller controller : rig.controllers) {
        controller.kill();
      }
      Rig.sleep(0.3);
      for (Rig.Controller controller : rig.controllers) {
        controller.launch();
      }
      Rig.sleep(8);
      rig.state.latePrefix = null;
    }
    while (rig.now() < 60) {
      rig.cloud.lagS = rig.now() < lateListsUntil ? rig.cloud.lagS : rig.site.listLagS;
      Rig.sleep(0.5);
    }
    rig.log("%d transactions, %d of them without an answer and carried out late",
        rig.state.transactions.get(), rig.state.lateTransactions.get());
    return rig.verdict(false);
  }

  private static void checkPlace(Rig rig, Rig.Machine machine, String piece) {
    String job = piece.substring(0, piece.indexOf('/'));
    if (!job.startsWith("wk-2")) {
      return;
    }
    int inZone = 0;
    for (var each : rig.machinesWith(job).entrySet()) {
      inZone += each.getKey().zone.equals(machine.zone) ? each.getValue() : 0;
    }
    if (inZone > (TASKS + 1) / 2) {
      rig.violation("wrong_place: %s starts on %s in %s, where %d of the job's %d tasks are", piece,
          machine.name, machine.zone, inZone, TASKS);
    }
  }
}
