package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import shorecrank.client.ControllerClient.Answer;
import shorecrank.client.ControllerClient.Unknown;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.Order;
import shorecrank.protocol.RolloutMessages.OrderKind;
import shorecrank.protocol.StoreMessages;
import shorecrank.rollout.ArchiveFormat.Version;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.ArchiveKeys.IndexEntry;
import shorecrank.rollout.ArchiveReader;
import shorecrank.rollout.ArchiveReader.Archive;
import shorecrank.rollout.ArchiveReader.Damaged;
import shorecrank.rollout.ArchiveValueCodec;

/** Makes, checks and compares archives of the service's keys. */
@Command(name = "archive", description = "Makes, checks and compares archives of the keys.")
final class ArchiveCommand {
  private static final int OK = 200;
  private static final long POLL_MS = 500;
  private static final long MOST_POLLS = 7200;
  private static final int MOST_SHOWN = 20;

  @Command(name = "create", description = "Has an archive made and fetches it.")
  int create(
      @Mixin ClientOptions options,
      @Parameters(paramLabel = "FILE", description = "where it goes") Path file,
      @Mixin OrderOptions named) {
    ControllerClient client = options.client();
    try {
      Answer answer =
          client.post(
              RolloutMessages.ORDERS,
              RolloutMessages.write(new Order(named.idOrNew(), OrderKind.ARCHIVE, -1)));
      if (answer.status() != OK) {
        return options.show(answer, "");
      }
      String archive = Json.text(answer.body().path("archive"));
      awaitComplete(client, archive);
      fetch(client, archive, file);
      return describe(options, read(file));
    } catch (Unknown e) {
      return options.unknown(e);
    } catch (IOException e) {
      return options.complain(ExitStatus.REFUSED, file + ": can't be written");
    } catch (Damaged e) {
      return options.complain(ExitStatus.REFUSED, file + ": " + e.getMessage());
    }
  }

  private static void awaitComplete(ControllerClient client, String archive) throws Unknown {
    for (long i = 0; i < MOST_POLLS; i++) {
      boolean[] complete = new boolean[1];
      keys(
          client,
          ArchiveKeys.index(archive),
          e -> {
            complete[0] |=
                ArchiveValueCodec.readIndex(e.key(), e.value())
                    .map(IndexEntry::isComplete)
                    .orElse(false);
          });
      if (complete[0]) {
        return;
      }
      ControllerClient.pause(POLL_MS);
    }
    throw new Unknown("archive " + archive + " is not complete yet");
  }

  private static void fetch(ControllerClient client, String archive, Path file)
      throws Unknown, IOException {
    Path partial = file.resolveSibling(file.getFileName() + ".part");
    String first = ArchiveKeys.chunk(archive, 0);
    String prefix = first.substring(0, first.lastIndexOf('/') + 1);
    try (OutputStream out = Files.newOutputStream(partial)) {
      IOException[] failure = new IOException[1];
      keys(
          client,
          prefix,
          e -> {
            byte[] chunk = ArchiveValueCodec.readChunk(e.value());
            try {
              out.write(chunk == null ? new byte[0] : chunk);
            } catch (IOException x) {
              failure[0] = x;
            }
          });
      if (failure[0] != null) {
        throw failure[0];
      }
    }
    Files.move(partial, file, StandardCopyOption.REPLACE_EXISTING);
  }

  /** All keys with a prefix, as the controllers read them from the state service now. */
  private static void keys(
      ControllerClient client, String prefix, Consumer<StoreMessages.Entry> each) throws Unknown {
    String after = "";
    while (true) {
      Answer answer = client.post(RolloutMessages.KEYS, RolloutMessages.keys(prefix, after));
      if (answer.status() != OK) {
        throw new Unknown(answer.reason());
      }
      var page = StoreMessages.entries(answer.body());
      page.forEach(each);
      if (!StoreMessages.more(answer.body()) || page.isEmpty()) {
        return;
      }
      after = page.get(page.size() - 1).key();
    }
  }

  @Command(name = "verify", description = "Checks that an archive is whole and undamaged.")
  int verify(
      @Parameters(paramLabel = "FILE", description = "the archive") Path file,
      @Mixin LocalOptions options) {
    try {
      return describe(options, read(file));
    } catch (IOException e) {
      return options.complain(file + ": can't be read");
    } catch (Damaged e) {
      return options.complain(file + ": " + e.getMessage());
    }
  }

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
      return options.complain(ExitStatus.REFUSED, file + ": can't be read");
    } catch (Damaged e) {
      return options.complain(ExitStatus.REFUSED, file + ": " + e.getMessage());
    }
    Map<String, JsonNode> now = new TreeMap<>();
    ControllerClient client = options.client();
    try {
      for (String prefix : ArchiveKeys.PREFIXES) {
        keys(client, prefix, e -> now.put(e.key(), e.value()));
      }
    } catch (Unknown e) {
      return options.unknown(e);
    }
    return compare(options, archive.keys(), now);
  }

  private static int compare(
      ClientOptions options, Map<String, Version> then, Map<String, JsonNode> now) {
    Map<String, String> differences = new TreeMap<>();
    then.forEach(
        (key, version) -> {
          JsonNode value = now.get(key);
          if (value == null) {
            differences.put(key, "removed");
          } else if (!value.toString().equals(version.data().toString())) {
            differences.put(key, "changed");
          }
        });
    now.keySet().stream()
        .filter(key -> !then.containsKey(key))
        .forEach(key -> differences.put(key, "added"));
    if (options.json()) {
      ObjectNode n = Json.object().put("keys", then.size());
      ObjectNode list = n.putObject("differences");
      differences.forEach(list::put);
      options.out().println(n.toPrettyString());
    } else {
      differences.entrySet().stream()
          .limit(MOST_SHOWN)
          .forEach(e -> options.out().printf("%-8s %s%n", e.getValue(), e.getKey()));
      if (differences.size() > MOST_SHOWN) {
        options.out().printf("and %d more%n", differences.size() - MOST_SHOWN);
      }
      options.out().printf("%d keys in the archive, %d differ%n", then.size(), differences.size());
    }
    return differences.isEmpty() ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private static Archive read(Path file) throws IOException, Damaged {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      return ArchiveReader.read(in);
    }
  }

  private static int describe(ClientOptions options, Archive archive) {
    options.out().println(LocalOptions.description(archive, options.json()));
    return ExitStatus.OK;
  }

  private static int describe(LocalOptions options, Archive archive) {
    options.out().println(LocalOptions.description(archive, options.json()));
    return ExitStatus.OK;
  }
}
