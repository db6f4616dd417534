package shorecrank.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which controllers an action is for, found out when it runs: {@code all}, {@code leader}, {@code
 * owner} (of shard 0), {@code owner-of-SHARD}, {@code other} (one that neither leads nor owns shard
 * 0), or a label such as {@code n0}.
 */
@FunctionalInterface
interface ControllerSelector {
  Pattern OWNER_OF = Pattern.compile("owner-of-(\\d+)");
  Pattern LABEL = Pattern.compile("n\\d+");

  /** Those that are meant now; none if nobody has the role. */
  List<ControllerNode> select(World world);

  /** Does something to each that is meant. */
  default void forEach(World world, Consumer<ControllerNode> action) {
    select(world).forEach(action);
  }

  /** Reads the word at an index. */
  static ControllerSelector read(ScenarioLine line, int index) {
    String word = line.word(index);
    Matcher ownerOf = OWNER_OF.matcher(word);
    if (ownerOf.matches()) {
      int shard = Integer.parseInt(ownerOf.group(1));
      return world -> world.owner(shard).stream().toList();
    }
    return switch (word) {
      case "all" -> World::controllers;
      case "leader" -> world -> world.leader().stream().toList();
      case "owner" -> world -> world.owner(0).stream().toList();
      case "other" -> ControllerSelector::other;
      default -> {
        if (!LABEL.matcher(word).matches()) {
          throw line.error("'" + word + "' names no controller");
        }
        yield world -> List.of(world.node(word));
      }
    };
  }

  private static List<ControllerNode> other(World world) {
    Optional<ControllerNode> leader = world.leader();
    Optional<ControllerNode> owner = world.owner(0);
    return world.controllers().stream()
        .filter(node -> node != leader.orElse(null) && node != owner.orElse(null))
        .limit(1)
        .toList();
  }
}
