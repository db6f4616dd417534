package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.protocol.Json;

/** Writes the platform's configuration file for a controller. */
final class NodeConfigWriter {
  private static final double CLOUD_REQUESTS_PER_S = 4;

  /**
   * Addresses of a controller for users and workers and for peers, and of the state service and the
   * cloud that it uses.
   */
  record Addresses(String users, String peers, String state, String cloud) {}

  private NodeConfigWriter() {}

  /** Returns the configuration of a simulated controller, as read from its file. */
  static NodeConfig config(World world, ControllerNode node) {
    try {
      return NodeConfigFile.read(Json.bytes(write(world, node)));
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Returns the contents of a controller's file. */
  static ObjectNode write(World world, ControllerNode node) {
    Addresses addresses = world.addresses(node);
    ObjectNode file = Json.object().put("label", node.label()).put("location", node.zone());
    file.put("public_addr", addresses.users()).put("peer_bind", addresses.peers());
    ArrayNode members = file.putArray("members");
    for (ControllerNode other : world.controllers()) {
      if (other != node) {
        members
            .addObject()
            .put("label", other.label())
            .put("location", other.zone())
            .put("addr", world.peerAddress(node, other));
      }
    }
    file.putObject("endpoints").put("cloud", addresses.cloud()).put("state", addresses.state());
    writeSettings(file.putObject("settings"), world);
    return file;
  }

  private static void writeSettings(ObjectNode settings, World world) {
    Site site = world.site;
    ArrayNode teams = settings.putArray("teams");
    site.teams()
        .forEach(
            (name, quota) ->
                teams
                    .addObject()
                    .put("name", name)
                    .put("cpus", quota.guaranteedCpus())
                    .put("cpus_max", quota.limitCpus())
                    .put("gpus", 0.0)
                    .put("gpus_max", 0.0));
    site.objectives().forEach(settings.withArray("objectives")::add);
    settings
        .putObject("workers")
        .put("report_s", site.reportS())
        .put("lease_s", site.leaseS())
        .put("cancel_s", site.cancelS());
    ObjectNode state = settings.putObject("state");
    state.put("rps", site.stateRequestsPerS()).put("write_rps", site.stateWritesPerS());
    writeLimits(state, world.store.limits());
    site.announcedLimits().ifPresent(next -> writeLimits(state.putObject("next"), next));
    settings
        .putObject("cloud")
        .put("rps", CLOUD_REQUESTS_PER_S)
        .put("list_lag_s", SimulatedCloud.LIST_LAG_S);
  }

  private static void writeLimits(ObjectNode into, StateLimits limits) {
    into.put("txn_ops", limits.transactionOperations()).put("value_kb", limits.valueKb());
  }
}
