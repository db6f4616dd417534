package shorecrank.client;

import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import shorecrank.protocol.Json;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveReader.Archive;

/** The options of commands that ask no controller. */
final class LocalOptions {
  @Spec(Spec.Target.MIXEE)
  private CommandSpec command;

  @Option(names = "--json", description = "print the answer as JSON")
  private boolean json;

  boolean json() {
    return json;
  }

  PrintWriter out() {
    return command.commandLine().getOut();
  }

  int complain(String message) {
    command.commandLine().getErr().println("shorecrank: " + message);
    return ExitStatus.REFUSED;
  }

  /** What an archive that was read whole says of itself. */
  static String description(Archive archive, boolean json) {
    Manifest m = archive.manifest();
    if (json) {
      return Json.object()
          .put("id", m.id())
          .put("build", m.build())
          .put("level", m.level())
          .put("keys", archive.keys().size())
          .put("revision", m.revision())
          .put("consistent", m.consistent())
          .toPrettyString();
    }
    String as =
        m.consistent()
            ? "as they were at revision " + m.revision()
            : "NOT consistent: each as it was between revisions %d and %d"
                .formatted(m.firstRevision(), m.revision());
    return "archive %s by build %s at level %d: %d keys, %s"
        .formatted(m.id(), m.build(), m.level(), archive.keys().size(), as);
  }
}
