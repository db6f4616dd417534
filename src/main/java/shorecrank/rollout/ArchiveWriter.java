package shorecrank.rollout;

import io.airlift.compress.zstd.ZstdOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveOutputStream;
import shorecrank.rollout.ArchiveFormat.FileEntry;
import shorecrank.rollout.ArchiveFormat.Manifest;

/**
 * Writes an archive file by file. The compressed output is buffered and can be taken at any time.
 */
final class ArchiveWriter {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final TarArchiveOutputStream tar;
  private final List<FileEntry> files = new ArrayList<>();
  private int entriesFileCount;
  private int changesFileCount;

  ArchiveWriter() {
    try {
      tar = new TarArchiveOutputStream(new ZstdOutputStream(output));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Adds a file with a page of keys, as encoded by {@link ArchiveFormat#writeEntries}. */
  void addEntries(byte[] page) {
    entriesFileCount++;
    addFile(ArchiveFormat.entriesFileName(entriesFileCount), page);
  }

  /** Adds a file with changes, as encoded by {@link ArchiveFormat#writeChanges}. */
  void addChanges(byte[] changes) {
    changesFileCount++;
    addFile(ArchiveFormat.changesFileName(changesFileCount), changes);
  }

  private void addFile(String name, byte[] content) {
    files.add(new FileEntry(name, DigestUtils.sha256Hex(content)));
    put(name, content);
  }

  private void put(String name, byte[] content) {
    TarArchiveEntry entry = new TarArchiveEntry(name);
    entry.setSize(content.length);
    entry.setModTime(0L);
    try {
      tar.putArchiveEntry(entry);
      tar.write(content);
      tar.closeArchiveEntry();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes the manifest and ends the archive; nothing can be added after it. */
  void finish(Manifest manifest) {
    put(ArchiveFormat.MANIFEST_FILE, ArchiveFormat.writeManifest(manifest, files));
    try {
      tar.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the number of buffered bytes of output. */
  int availableBytes() {
    return output.size();
  }

  /**
   * Removes up to {@code maxBytes} bytes from the front of the buffered output and returns them.
   */
  byte[] take(int maxBytes) {
    byte[] all = output.toByteArray();
    int size = Math.min(maxBytes, all.length);
    output.reset();
    output.write(all, size, all.length - size);
    return Arrays.copyOf(all, size);
  }
}
