package shorecrank.rollout;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.airlift.compress.zstd.ZstdOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveOutputStream;
import shorecrank.protocol.Json;

/** Writes an archive piece by piece; what is ready can be taken at any time. */
final class ArchiveWriter {
  private final ByteArrayOutputStream ready = new ByteArrayOutputStream();
  private final TarArchiveOutputStream tar;
  private final ArrayNode files = Json.array();
  private int entryFiles;
  private int changeFiles;

  ArchiveWriter() {
    try {
      tar = new TarArchiveOutputStream(new ZstdOutputStream(ready));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Adds a page of keys. */
  void addEntries(byte[] page) {
    addFile("%s/%06d.json".formatted(ArchiveFormat.ENTRIES, ++entryFiles), page);
  }

  /** Adds changes that came while pages were read. */
  void addChanges(byte[] changes) {
    addFile("%s/%06d.json".formatted(ArchiveFormat.CHANGES, ++changeFiles), changes);
  }

  private void addFile(String name, byte[] content) {
    files
        .addObject()
        .put(ArchiveFormat.NAME, name)
        .put(ArchiveFormat.SHA256, DigestUtils.sha256Hex(content));
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
  void finish(ArchiveFormat.Manifest manifest) {
    ObjectNode n = manifest.write();
    n.set(ArchiveFormat.FILES, files);
    put(ArchiveFormat.MANIFEST, Json.bytes(n));
    try {
      tar.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Bytes that can be taken. */
  int available() {
    return ready.size();
  }

  /** The next bytes, so many at the most. */
  byte[] take(int most) {
    byte[] all = ready.toByteArray();
    int size = Math.min(most, all.length);
    ready.reset();
    ready.write(all, size, all.length - size);
    return Arrays.copyOf(all, size);
  }
}
