package shorecrank.client;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.ArchiveKeys.IndexEntry;
import shorecrank.rollout.ArchiveValueCodec;

/** Downloads an archive from the state service, through the controllers, into a file. */
final class ArchiveDownload {
  private static final long POLL_MS = 500;

  /** Limits the wait for an archive to one hour, at one poll every {@link #POLL_MS}. */
  private static final int MAX_POLLS = 7200;

  private final StoredKeys keys;
  private final String archiveId;

  /**
   * Creates a download that does nothing until {@link #fetchInto} is called.
   *
   * @param archiveId the id of the archive to download
   */
  ArchiveDownload(StoredKeys keys, String archiveId) {
    this.keys = keys;
    this.archiveId = archiveId;
  }

  /**
   * Waits until the archive is complete, then downloads it. The chunks go into a file beside the
   * given one, which is renamed after the last chunk: an interrupted download never leaves a
   * partial file under the given name.
   *
   * @throws NoAnswerException if the archive is not complete within an hour, or no controller
   *     answers
   */
  void fetchInto(Path file) throws NoAnswerException, IOException {
    awaitComplete();
    Path partial = file.resolveSibling(file.getFileName() + ".part");
    String firstChunk = ArchiveKeys.chunkKey(archiveId, 0);
    String prefix = firstChunk.substring(0, firstChunk.lastIndexOf('/') + 1);
    try (OutputStream out = Files.newOutputStream(partial)) {
      ChunkWriter writer = new ChunkWriter(out);
      keys.forEach(prefix, writer::write);
      writer.throwFailure();
    }
    Files.move(partial, file, StandardCopyOption.REPLACE_EXISTING);
  }

  private void awaitComplete() throws NoAnswerException {
    for (int poll = 0; poll < MAX_POLLS; poll++) {
      if (isComplete()) {
        return;
      }
      ControllerClient.pause(POLL_MS);
    }
    throw new NoAnswerException("archive " + archiveId + " is not complete yet");
  }

  private boolean isComplete() throws NoAnswerException {
    boolean[] complete = new boolean[1];
    keys.forEach(
        ArchiveKeys.indexKey(archiveId),
        entry ->
            complete[0] |=
                ArchiveValueCodec.readIndex(entry.key(), entry.value())
                    .map(IndexEntry::isComplete)
                    .orElse(false));
    return complete[0];
  }

  /**
   * Writes chunks to a stream. An {@link IOException} is kept and thrown after the last key,
   * because the consumer of {@link StoredKeys#forEach} cannot throw it.
   */
  private static final class ChunkWriter {
    private final OutputStream out;
    private IOException failure;

    ChunkWriter(OutputStream out) {
      this.out = out;
    }

    private void write(Entry entry) {
      byte[] chunk = ArchiveValueCodec.readChunk(entry.value());
      if (chunk == null) {
        // A malformed chunk is left out; the verification of the downloaded file reports the
        // damage.
        return;
      }
      try {
        out.write(chunk);
      } catch (IOException e) {
        failure = e;
      }
    }

    private void throwFailure() throws IOException {
      if (failure != null) {
        throw failure;
      }
    }
  }
}
