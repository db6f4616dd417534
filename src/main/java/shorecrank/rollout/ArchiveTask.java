package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * Makes one archive of the service's keys, and keeps it in the state service.
 *
 * <p>Keys are listed page by page, then what changed meanwhile is read prefix by prefix. Each of
 * these answers reaches up to some revision; changes above the lowest of them are left out, so the
 * archive shows the keys at that one revision. Where the service no longer has the changes, the
 * archive says that it is not consistent.
 *
 * <p>One call is under way at a time. Every write is behind the leader's term; a write without an
 * answer is repeated behind the same guard.
 */
final class ArchiveTask {
  private static final int PAGE = 200;
  private static final long RETRY_MS = 1000;

  private enum Step {
    ANNOUNCE,
    LIST,
    READ_CHANGES,
    WRITE_CHUNKS,
    COMPLETE,
    DONE,
    FAILED
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final String id;
  private final String build;
  private final FeatureLevel level;
  private final ArchiveWriter writer = new ArchiveWriter();

  /** What changed while the keys were listed, and up to which revision each prefix was read. */
  private final List<Change> changes = new ArrayList<>();

  private long firstRevision = -1;
  private long changesUpTo = Long.MAX_VALUE;
  private long listedUpTo;
  private boolean changesLost;
  private Step step = Step.ANNOUNCE;
  private boolean busy;
  private MonotonicTime retryAt = MonotonicTime.NEVER;
  private int prefix;
  private String after = "";
  private byte[] chunk;
  private int chunks;
  private long bytes;

  ArchiveTask(
      LeaderEnvironment environment,
      Leadership leadership,
      String id,
      String build,
      FeatureLevel level) {
    this.environment = environment;
    this.leadership = leadership;
    this.id = id;
    this.build = build;
    this.level = level;
  }

  String id() {
    return id;
  }

  boolean done() {
    return step == Step.DONE;
  }

  boolean failed() {
    return step == Step.FAILED;
  }

  void tick() {
    boolean over = step == Step.DONE || step == Step.FAILED;
    if (busy || over || environment.now().before(retryAt) || !environment.takeRequest()) {
      return;
    }
    // What is ready goes out before more is read, so that little is held in memory.
    if (chunk != null || writer.available() >= chunkBytes()) {
      writeChunk();
      return;
    }
    switch (step) {
      case ANNOUNCE -> writeIndex(false, Step.LIST);
      case LIST -> list();
      case READ_CHANGES -> readChanges();
      case WRITE_CHUNKS -> {
        if (writer.available() > 0) {
          writeChunk();
        } else {
          step = Step.COMPLETE;
        }
      }
      case COMPLETE -> writeIndex(true, Step.DONE);
      case DONE, FAILED -> {}
    }
  }

  private int chunkBytes() {
    return ArchiveKeys.chunkBytes(environment.valueBytes());
  }

  private void call(String method, String path, JsonNode body, LeaderEnvironment.OnAnswer then) {
    busy = true;
    environment.state(
        method,
        path,
        body,
        (status, answer) -> {
          busy = false;
          then.answer(status, answer);
        });
  }

  private void retry() {
    retryAt = environment.now().plus(RETRY_MS);
  }

  private void list() {
    String of = ArchiveKeys.PREFIXES.get(prefix);
    call(
        "GET",
        StoreMessages.list(of, after, PAGE),
        null,
        (status, body) -> {
          if (status != 200) {
            retry();
            return;
          }
          long revision = StoreMessages.revision(body);
          firstRevision = firstRevision < 0 ? revision : firstRevision;
          listedUpTo = Math.max(listedUpTo, revision);
          List<Entry> page = StoreMessages.entries(body);
          if (!page.isEmpty()) {
            writer.addEntries(ArchiveFormat.entries(page));
            after = page.get(page.size() - 1).key();
          }
          if (!StoreMessages.more(body) || page.isEmpty()) {
            nextPrefix(Step.READ_CHANGES);
          }
        });
  }

  private void nextPrefix(Step then) {
    after = "";
    prefix++;
    if (prefix == ArchiveKeys.PREFIXES.size()) {
      prefix = 0;
      step = then;
    }
  }

  private void readChanges() {
    String of = ArchiveKeys.PREFIXES.get(prefix);
    call(
        "GET",
        StoreMessages.watch(of, firstRevision, 0),
        null,
        (status, body) -> {
          if (status == 410) {
            changesLost = true;
          } else if (status == 200) {
            changes.addAll(StoreMessages.changes(body));
            changesUpTo = Math.min(changesUpTo, StoreMessages.revision(body));
          } else {
            retry();
            return;
          }
          nextPrefix(Step.WRITE_CHUNKS);
          if (step == Step.WRITE_CHUNKS) {
            finish();
          }
        });
  }

  private void finish() {
    boolean consistent = !changesLost && changesUpTo >= listedUpTo;
    long revision = changesLost ? listedUpTo : changesUpTo;
    changes.removeIf(c -> c.revision().value() > revision);
    if (!changes.isEmpty()) {
      writer.addChanges(ArchiveFormat.changes(changes));
    }
    writer.finish(
        new ArchiveFormat.Manifest(
            id, build, level.value(), firstRevision, revision, consistent, environment.wallMs()));
  }

  private void writeChunk() {
    if (!environment.takeWrites(1)) {
      return;
    }
    if (chunk == null) {
      chunk = writer.take(chunkBytes());
    }
    String key = ArchiveKeys.chunk(id, chunks);
    Transaction transaction =
        new Transaction().guard(key, Revision.ABSENT).write(key, ArchiveKeys.writeChunk(chunk));
    leadership.guard(transaction);
    call(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          // Nobody else writes under this id: a chunk that is there is ours, without an answer.
          boolean there = status == 409 && StoreMessages.failed(body).contains(key);
          if (status == 200 || there) {
            chunks++;
            bytes += chunk.length;
            chunk = null;
          } else if (status == 409 || status == 400) {
            fail(status == 409 ? "this process no longer leads" : "refused: " + body);
          } else {
            retry();
          }
        });
  }

  private void writeIndex(boolean complete, Step then) {
    if (!environment.takeWrites(1)) {
      return;
    }
    Transaction transaction =
        new Transaction()
            .write(
                ArchiveKeys.index(id),
                new ArchiveKeys.IndexEntry(id, complete, chunks, bytes).write());
    leadership.guard(transaction);
    call(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          if (status == 200) {
            step = then;
            if (complete) {
              environment.info(
                  "archive written id=%s chunks=%d bytes=%d consistent=%s",
                  id, chunks, bytes, !changesLost);
            }
          } else if (status == 409 || status == 400) {
            fail("this process no longer leads, or the index was refused: " + body);
          } else {
            retry();
          }
        });
  }

  private void fail(String why) {
    step = Step.FAILED;
    environment.info("archive given up id=%s reason=\"%s\"", id, why);
  }
}
