package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import shorecrank.client.ControllerClient.Answer;
import shorecrank.protocol.Json;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutOrderCodec;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveFormat.VersionedValue;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.ArchiveReader;
import shorecrank.rollout.ArchiveReader.Archive;
import shorecrank.rollout.ArchiveReader.DamagedArchiveException;

/** The subcommands that create, verify and compare archives of the state service's keys. */
@Command(name = "archive", description = "Makes, checks and compares archives of the keys.")
final class ArchiveCommand {
  private static final int MAX_DIFFERENCES_PRINTED = 20;

  /** The value of {@link RolloutOrder#target} in an order for an archive, which has no level. */
  private static final int NO_LEVEL = -1;

  /** Orders an archive, downloads it when it is complete, and verifies the downloaded file. */
  @Command(name = "create", description = "Has an archive made and fetches it.")
  int create(
      @Mixin ClientOptions options,
      @Parameters(paramLabel = "FILE", description = "where it goes") Path file,
      @Mixin OrderOptions order) {
    ControllerClient client = options.createClient();
    try {
      Answer answer =
          client.post(
              OperatorPaths.ROLLOUT_ORDERS,
              RolloutOrderCodec.write(
                  new RolloutOrder(order.orderId(), OrderKind.ARCHIVE, NO_LEVEL)));
      if (!answer.isOk()) {
        return options.printAnswer(answer, "");
      }
      String archive = Json.text(answer.body().path("archive"));
      new ArchiveDownload(new StoredKeys(client), archive).fetchInto(file);
      return printSummary(options, read(file));
    } catch (NoAnswerException e) {
      return options.reportNoAnswer(e);
    } catch (IOException e) {
      return options.printError(ExitStatus.REFUSED, file + ": can't be written");
    } catch (DamagedArchiveException e) {
      return options.printError(ExitStatus.REFUSED, file + ": " + e.getMessage());
    }
  }

  /** Verifies an archive file; needs no connection to a controller. */
  @Command(name = "verify", description = "Checks that an archive is whole and undamaged.")
  int verify(
      @Parameters(paramLabel = "FILE", description = "the archive") Path file,
      @Mixin OutputOptions options) {
    try {
      return printSummary(options, read(file));
    } catch (IOException e) {
      return options.printError(ExitStatus.REFUSED, file + ": can't be read");
    } catch (DamagedArchiveException e) {
      return options.printError(ExitStatus.REFUSED, file + ": " + e.getMessage());
    }
  }

  /** Compares an archive file with the current keys of the state service. */
  @Command(
      name = "diff",
      description = "Compares an archive with the state service; 1 if they differ.")
  int diff(
      @Mixin ClientOptions options,
      @Parameters(paramLabel = "FILE", description = "the archive") Path file) {
    Archive archive;
    try {
      archive = read(file);
    } catch (IOException e) {
      return options.printError(ExitStatus.REFUSED, file + ": can't be read");
    } catch (DamagedArchiveException e) {
      return options.printError(ExitStatus.REFUSED, file + ": " + e.getMessage());
    }
    Map<String, JsonNode> stored = new TreeMap<>();
    StoredKeys keys = new StoredKeys(options.createClient());
    try {
      for (String prefix : ArchiveKeys.ARCHIVED_PREFIXES) {
        keys.forEach(prefix, entry -> stored.put(entry.key(), entry.value()));
      }
    } catch (NoAnswerException e) {
      return options.reportNoAnswer(e);
    }
    Map<String, String> differences = compare(archive.keys(), stored);
    printDifferences(options, archive.keys().size(), differences);
    return differences.isEmpty() ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  /**
   * Returns the differences between an archive and the stored keys, sorted by key.
   *
   * @return {@code added}, {@code changed} or {@code removed} for each key that differs
   */
  private static Map<String, String> compare(
      Map<String, VersionedValue> archived, Map<String, JsonNode> stored) {
    Map<String, String> differences = new TreeMap<>();
    archived.forEach(
        (key, version) -> {
          JsonNode value = stored.get(key);
          if (value == null) {
            differences.put(key, "removed");
          } else if (!value.toString().equals(version.data().toString())) {
            differences.put(key, "changed");
          }
        });
    stored.keySet().stream()
        .filter(key -> !archived.containsKey(key))
        .forEach(key -> differences.put(key, "added"));
    return differences;
  }

  private static void printDifferences(
      OutputOptions options, int archivedKeys, Map<String, String> differences) {
    if (options.isJson()) {
      ObjectNode result = Json.object().put("keys", archivedKeys);
      ObjectNode list = result.putObject("differences");
      differences.forEach(list::put);
      options.printJson(result);
      return;
    }
    differences.entrySet().stream()
        .limit(MAX_DIFFERENCES_PRINTED)
        .forEach(e -> options.out().printf("%-8s %s%n", e.getValue(), e.getKey()));
    if (differences.size() > MAX_DIFFERENCES_PRINTED) {
      options.out().printf("and %d more%n", differences.size() - MAX_DIFFERENCES_PRINTED);
    }
    options.out().printf("%d keys in the archive, %d differ%n", archivedKeys, differences.size());
  }

  private static Archive read(Path file) throws IOException, DamagedArchiveException {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      return ArchiveReader.read(in);
    }
  }

  /**
   * Prints an archive's id, build, feature level, number of keys and revision.
   *
   * @return the exit status {@link ExitStatus#OK}
   */
  private static int printSummary(OutputOptions options, Archive archive) {
    Manifest manifest = archive.manifest();
    if (options.isJson()) {
      options.printJson(
          Json.object()
              .put("id", manifest.id())
              .put("build", manifest.build())
              .put("level", manifest.level())
              .put("keys", archive.keys().size())
              .put("revision", manifest.revision())
              .put("consistent", manifest.consistent()));
      return ExitStatus.OK;
    }
    String state =
        manifest.consistent()
            ? "as they were at revision " + manifest.revision()
            : "NOT consistent: each as it was between revisions %d and %d"
                .formatted(manifest.firstRevision(), manifest.revision());
    options
        .out()
        .println(
            "archive %s by build %s at level %d: %d keys, %s"
                .formatted(
                    manifest.id(),
                    manifest.build(),
                    manifest.level(),
                    archive.keys().size(),
                    state));
    return ExitStatus.OK;
  }
}
