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

/** Writes an archive file by file; the bytes that are output can be taken at any time. */
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

  /** Adds a page of keys, see {@link ArchiveFormat#writeEntries}. */
  void addEntries(byte[] page) {
    entriesFileCount++;
    addFile(ArchiveFormat.entriesFileName(entriesFileCount), page);
  }

  /** Adds changes that came while pages were read, see {@link ArchiveFormat#writeChanges}. */
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

  /** Writes the manifest; nothing may be added after it. */
  void finish(Manifest manifest) {
    put(ArchiveFormat.MANIFEST_FILE, ArchiveFormat.writeManifest(manifest, files));
    try {
      tar.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** How many bytes can be taken. */
  int availableBytes() {
    return output.size();
  }

  /** Takes the next bytes, at maxBytes {@code maxBytes}. */
  byte[] take(int maxBytes) {
    byte[] all = output.toByteArray();
    int size = Math.min(maxBytes, all.length);
    output.reset();
    output.write(all, size, all.length - size);
    return Arrays.copyOf(all, size);
  }
}
