package standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Settings like those of the users' small deployments. */
final class Deployments {
  static final String TEAM = "founders-desk";
  static final String COMPAS_TEAM = "guardia-plataforma";

  private Deployments() {}

  /** Returns the settings of the cold-chain deployment, as BRIEF has them. */
  static ObjectNode frostline() {
    ObjectNode settings = Jsons.object().put("count", 3).put("skew_ms", 100.0);
    settings.putArray("zones").add("rack-north").add("rack-south");
    ObjectNode team = settings.putArray("teams").addObject().put("name", TEAM);
    team.put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 0.0).put("gpus_max", 0.0);
    ArrayNode objectives = settings.putArray("objectives");
    objective(objectives, "wait", "excursion-alert", 6, 0.92);
    objective(objectives, "finished", "excursion-alert", 60, 0.92);
    objective(objectives, "finished", "trace-ingest", 70, 0.85);
    objective(objectives, "finished", "trace-ingest", 120, 0.96);
    settings.putObject("workers").put("report_s", 1.5).put("lease_s", 10.0)
        .put("gang_wait_s", 35.0).put("gang_peer_s", 8.0).put("cancel_s", 40.0);
    settings.putObject("state").put("rps", 70.0).put("write_rps", 25.0)
        .put("value_kb", 16.0).put("txn_ops", 16);
    settings.putObject("cloud").put("rps", 4.0).put("list_lag_s", 3.0);
    settings.putObject("quota").put("cores", 0.255).put("mem_mb", 205.0).put("sockets", 1200);
    return settings;
  }

  private static void objective(
      ArrayNode all, String kind, String jobClass, double withinS, double share) {
    all.addObject().put("kind", kind).put("class", jobClass)
        .put("within_s", withinS).put("share", share);
  }

  /** Adds the machine types of the cold-chain deployment, as BRIEF has them. */
  static void addFrostlineTypes(Cloud cloud) {
    List<String> north = List.of("rack-north");
    List<String> south = List.of("rack-south");
    cloud.addType(new Cloud.Type("pod8", 8, 32, 0.8, 0.35, 0.11, 30, north));
    cloud.addType(new Cloud.Type("pod16", 16, 64, 0.25, 0.73, 0.2, 30, north));
    cloud.addType(new Cloud.Type("pod32", 32, 256, 0.2, 1.68, 0.45, 50, south));
  }

  /** Adds the machine types of the cold-chain deployment and the machines up at the start. */
  static void addFrostlineMachines(Cloud cloud) {
    addFrostlineMachines(cloud, List.of("pod8", "pod16", "pod32"));
  }

  /**
   * Does the same.
   *
   * @param order the types in the order in which their machines were created, which no page gives
   */
  static void addFrostlineMachines(Cloud cloud, List<String> order) {
    addFrostlineTypes(cloud);
    for (String sku : order) {
      switch (sku) {
        case "pod8" -> addRunning(cloud, sku, "rack-north", 5);
        case "pod16" -> addRunning(cloud, sku, "rack-north", 6);
        default -> addRunning(cloud, sku, "rack-south", 3);
      }
    }
    // "Up to about 40 machines": what is left of each type besides the 14.
    cloud.capacity.put("pod8 rack-north", 1);
    cloud.capacity.put("pod8 rack-north spot", 11);
    cloud.capacity.put("pod16 rack-north", 1);
    cloud.capacity.put("pod16 rack-north spot", 7);
    cloud.capacity.put("pod32 rack-south spot", 6);
  }

  static void addRunning(Cloud cloud, String sku, String zone, int count) {
    for (int i = 0; i < count; i++) {
      cloud.addRunning(sku, zone, false);
    }
  }

  /** Returns the settings of the lesson deployment, as BRIEF has them. */
  static ObjectNode compas() {
    ObjectNode settings = Jsons.object().put("count", 3).put("skew_ms", 25.0);
    settings.putArray("zones").add("mvd-centro").add("mvd-este").add("sao-sur");
    ObjectNode team = settings.putArray("teams").addObject().put("name", COMPAS_TEAM);
    team.put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 0.0).put("gpus_max", 0.0);
    ArrayNode objectives = settings.putArray("objectives");
    objective(objectives, "wait", "recital-cut", 20, 0.97);
    objective(objectives, "finished", "recital-cut", 60, 0.97);
    objective(objectives, "wait", "take-feedback", 10, 0.88);
    objective(objectives, "finished", "metronome-drift", 150, 0.96);
    settings.putObject("workers").put("report_s", 3.0).put("lease_s", 31.0)
        .put("gang_wait_s", 30.0).put("gang_peer_s", 4.0).put("cancel_s", 61.0);
    settings.putObject("state").put("rps", 250.0).put("write_rps", 100.0)
        .put("value_kb", 16.0).put("txn_ops", 48);
    settings.putObject("cloud").put("rps", 10.0).put("list_lag_s", 6.0);
    settings.putObject("quota").put("cores", 0.34).put("mem_mb", 320.0).put("sockets", 2500);
    return settings;
  }

  /** Adds the machine type of the lesson deployment and the five machines up at the start. */
  static void addCompasMachines(Cloud cloud) {
    List<String> zones = List.of("mvd-centro", "mvd-este", "sao-sur");
    cloud.addType(new Cloud.Type("cuerda16", 16, 32, 0.5, 0.64, 0.24, 50, zones));
    addRunning(cloud, "cuerda16", "mvd-centro", 2);
    addRunning(cloud, "cuerda16", "mvd-este", 1);
    addRunning(cloud, "cuerda16", "sao-sur", 2);
  }
}
