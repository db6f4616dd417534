package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Machines of shards, moves under way, and answers to operators' orders of shares. */
final class ShareExpectations {
  static final Map<String, Expectation.Reader> EXPECTATIONS =
      Map.of(
          "share", ShareExpectations::share,
          "counted", ShareExpectations::counted,
          "moves", ShareExpectations::moves,
          "share-order", ShareExpectations::order,
          "share-orders", ShareExpectations::orders);

  private ShareExpectations() {}

  private static Expectation of(Expectation.Condition condition) {
    return Expectation.of(condition, world -> " " + world.shares.describe());
  }

  /** {@code share SHARD LEAST MOST}: machines that are assigned to it. */
  private static Expectation share(ScenarioLine line) {
    int shard = line.integer(1);
    int least = line.integer(2);
    int most = line.integer(3);
    return of(
        world -> {
          int machines = world.shares.machinesByShard().getOrDefault(shard, List.of()).size();
          return machines >= least && machines <= most;
        });
  }

  /** {@code counted METRIC LEAST MOST}: by all controllers together. */
  private static Expectation counted(ScenarioLine line) {
    String metric = line.word(1);
    long least = line.longInteger(2);
    long most = line.longInteger(3);
    return of(
        world -> {
          long count = world.counters.total(metric);
          return count >= least && count <= most;
        });
  }

  /** {@code moves COUNT}: moves under way. */
  private static Expectation moves(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.shares.state().active().size() == count);
  }

  /** {@code share-order ID accepted|refused [words that the answer holds]}. */
  private static Expectation order(ScenarioLine line) {
    ExpectedOrderAnswer answer = ExpectedOrderAnswer.read(line);
    return of(world -> answer.matches(world.shares.orders()));
  }

  /** {@code share-orders ID,ID ACCEPTED REFUSED}: how many of their answers said what. */
  private static Expectation orders(ScenarioLine line) {
    List<String> ids = line.list(1);
    long acceptedExpected = line.longInteger(2);
    long refusedExpected = line.longInteger(3);
    return of(
        world -> {
          List<JsonNode> answers = new ArrayList<>();
          for (String id : ids) {
            answers.addAll(world.shares.orders().answers(id));
          }
          long accepted = answers.stream().filter(n -> n.path("accepted").asBoolean()).count();
          return accepted == acceptedExpected && answers.size() - accepted == refusedExpected;
        });
  }
}
