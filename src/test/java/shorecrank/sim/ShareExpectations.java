package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Expectations about the machines of shards, active moves, and the answers to operators' orders
 * about shares.
 */
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

  /**
   * Parses {@code share SHARD LEAST MOST}: bounds of the number of machines that are assigned to
   * the shard.
   */
  private static Expectation share(ScenarioLine line) {
    int shard = line.integer(1);
    int minimum = line.integer(2);
    int maximum = line.integer(3);
    return of(
        world -> {
          int machines = world.shares.machinesByShard().getOrDefault(shard, List.of()).size();
          return machines >= minimum && machines <= maximum;
        });
  }

  /**
   * Parses {@code counted METRIC LEAST MOST}: bounds of the sum of a counter over all controllers.
   */
  private static Expectation counted(ScenarioLine line) {
    String metric = line.word(1);
    long minimum = line.longInteger(2);
    long maximum = line.longInteger(3);
    return of(
        world -> {
          long count = world.counters.total(metric);
          return count >= minimum && count <= maximum;
        });
  }

  /** Parses {@code moves COUNT}: the number of active moves. */
  private static Expectation moves(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.shares.state().active().size() == count);
  }

  /**
   * Parses {@code share-order ID accepted|refused [TEXT]}: the answers to the order, and a text
   * that they contain.
   */
  private static Expectation order(ScenarioLine line) {
    ExpectedOrderAnswer answer = ExpectedOrderAnswer.read(line);
    return of(world -> answer.matches(world.shares.orders()));
  }

  /**
   * Parses {@code share-orders ID,ID ACCEPTED REFUSED}: how many answers to these orders accept,
   * and how many refuse them.
   */
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
