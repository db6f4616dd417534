package standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;

/** Runs one case and exits with its verdict: 1 if the rule was broken, 0 if it held, else 2. */
final class Case {
  /** After this time a case is ended as one that couldn't run. */
  private static final double MAX_S = 118;

  /** What a case does; returns whether the rule held. */
  interface Body {
    boolean run(Site site, boolean trouble) throws Exception;
  }

  /** Thrown if a case can't run. */
  static final class CannotRunException extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRunException(String reason) {
      super(reason);
    }
  }

  private Case() {}

  /**
   * Runs a case and exits. The first argument is the file for the record.
   *
   * @param locations the zones of the controllers, of which there are three
   */
  static void main(String[] arguments, JsonNode settings, Body body, String... locations)
      throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Site site = new Site(record, settings, 3, locations)) {
      Thread limit = new Thread(() -> endAfterLimit(record));
      limit.setDaemon(true);
      limit.start();
      record.say("trouble: %s", trouble ? "yes" : "no");
      try {
        status = body.run(site, trouble) ? 0 : 1;
        record.say(status == 0 ? "HELD" : "BROKEN");
      } catch (CannotRunException e) {
        record.say("could not run: %s", e.getMessage());
      } catch (Exception e) {
        record.say("could not run: %s", e);
      }
      for (Site.Controller controller : site.controllers) {
        record.add("log of %s:%n%s", controller.label, controller.logEnd());
      }
    }
    System.exit(status);
  }

  private static void endAfterLimit(Record record) {
    Site.pause(MAX_S);
    record.say("could not run: not over after %.0f s", MAX_S);
    System.exit(2);
  }

  static void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new CannotRunException(otherwise);
    }
  }
}
