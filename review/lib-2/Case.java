package standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;

/**
 * Runs one case and exits with its verdict: {@link #BROKEN}, 0 if the rule held, or 2 if the case
 * couldn't run. The script maps these, and any other status of the process, to its own.
 */
final class Case {
  /** After this time a case is ended as one that couldn't run. */
  private static final double MAX_S = 117;

  /** Not 1, the status of a JVM that could not start a program. */
  private static final int BROKEN = 10;

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
  static void main(String[] arguments, JsonNode settings, Body body, String... locations) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    // Begun before anything can fail, so that no thread of a stand-in keeps the script alive.
    Thread limit = new Thread(Case::endAfterLimit);
    limit.setDaemon(true);
    limit.start();
    try (Record record = new Record(Path.of(arguments[0]));
        Site site = new Site(record, settings, 3, locations)) {
      record.say("trouble: %s", trouble ? "yes" : "no");
      try {
        status = body.run(site, trouble) ? 0 : BROKEN;
        record.say(status == 0 ? "HELD" : "BROKEN");
      } catch (CannotRunException e) {
        record.say("could not run: %s", e.getMessage());
      }
      for (Site.Controller controller : site.controllers) {
        record.add("log of %s:%n%s", controller.label, controller.logEnd());
      }
    } catch (Throwable e) {
      System.out.println("could not run: " + e);
      status = 2;
    }
    System.exit(status);
  }

  private static void endAfterLimit() {
    long parent = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L);
    while (Record.now() < MAX_S) {
      Site.pause(0.5);
      if (ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L) != parent) {
        // The script was killed: ends the controllers too.
        System.exit(2);
      }
    }
    System.out.println("could not run: not over after " + MAX_S + " s");
    System.exit(2);
  }

  static void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new CannotRunException(otherwise);
    }
  }
}
