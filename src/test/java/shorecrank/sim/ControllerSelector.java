package shorecrank.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Selects the controllers that a scenario action applies to, at the time when the action runs:
 * {@code all}, {@code leader}, {@code owner} (of shard 0), {@code owner-of-SHARD}, {@code other}
 * (one that is neither leader nor owner of shard 0), or a label such as {@code n0}.
 */
@FunctionalInterface
interface ControllerSelector {
  Pattern OWNER_OF = Pattern.compile("owner-of-(\\d+)");
  Pattern LABEL = Pattern.compile("n\\d+");

  /** Returns the selected controllers; empty if none has the role now. */
  List<ControllerNode> select(World world);

  /** Applies an action to each selected controller. */
  default void forEach(World world, Consumer<ControllerNode> action) {
    select(world).forEach(action);
  }

  /** Reads the selector at a word index of a scenario line. */
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
