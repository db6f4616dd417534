package shorecrank.rollout;

import io.airlift.compress.zstd.ZstdInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveInputStream;
import shorecrank.rollout.ArchiveFormat.FileEntry;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveFormat.ManifestFile;
import shorecrank.rollout.ArchiveFormat.VersionedValue;

/** Reads an archive and verifies its files against the manifest. */
public final class ArchiveReader {
  /**
   * Maximum size of a file in an archive. A page of keys takes 512 KiB, so a larger file was not
   * written by {@link ArchiveWriter}.
   */
  private static final long MAX_FILE_BYTES = 256L << 20;

  private ArchiveReader() {}

  /** Thrown if an archive is damaged or has a format version that is not supported. */
  public static final class DamagedArchiveException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedArchiveException(String message) {
      super(message);
    }
  }

  /**
   * A verified archive: its description, and the keys with their values in ascending order of the
   * keys.
   */
  public record Archive(Manifest manifest, Map<String, VersionedValue> keys) {}

  /**
   * Reads an archive to its end and verifies every file.
   *
   * @throws DamagedArchiveException if the archive is damaged, incomplete or of another format
   *     version; the message names the file or field
   */
  public static Archive read(InputStream in) throws DamagedArchiveException {
    Map<String, byte[]> files = new LinkedHashMap<>();
    try (TarArchiveInputStream tar = new TarArchiveInputStream(new ZstdInputStream(in))) {
      for (TarArchiveEntry file = tar.getNextEntry(); file != null; file = tar.getNextEntry()) {
        checkName(file);
        if (files.putIfAbsent(file.getName(), readContent(tar, file)) != null) {
          throw new DamagedArchiveException("file " + file.getName() + " stands in it twice");
        }
      }
    } catch (IOException | RuntimeException e) {
      // The tar and Zstandard libraries report damaged input by checked or unchecked exceptions.
      throw new DamagedArchiveException("not a complete archive: " + e.getMessage());
    }
    byte[] manifestFile = files.remove(ArchiveFormat.MANIFEST_FILE);
    if (manifestFile == null) {
      throw new DamagedArchiveException(
          "it has no " + ArchiveFormat.MANIFEST_FILE + ", so it is not complete");
    }
    return readFiles(manifestFile, files);
  }

  private static void checkName(TarArchiveEntry file) throws DamagedArchiveException {
    boolean known =
        file.getName().equals(ArchiveFormat.MANIFEST_FILE)
            || ArchiveFormat.FILE_NAME.matcher(file.getName()).matches();
    if (!known || !file.isFile()) {
      throw new DamagedArchiveException(
          "file name " + file.getName() + " is not one of an archive's");
    }
    if (file.getSize() > MAX_FILE_BYTES) {
      throw new DamagedArchiveException(
          "file " + file.getName() + " is larger than any of an archive's");
    }
  }

  private static byte[] readContent(TarArchiveInputStream tar, TarArchiveEntry file)
      throws IOException, DamagedArchiveException {
    byte[] content = tar.readNBytes((int) file.getSize());
    if (content.length < file.getSize()) {
      throw new DamagedArchiveException("file " + file.getName() + " is cut short");
    }
    return content;
  }

  private static Archive readFiles(byte[] manifestFile, Map<String, byte[]> files)
      throws DamagedArchiveException {
    ManifestFile read = ArchiveFormat.readManifest(manifestFile);
    if (read.version() != ArchiveFormat.FORMAT_VERSION) {
      throw new DamagedArchiveException(
          "format "
              + read.version()
              + " is not read by this version, which reads "
              + ArchiveFormat.FORMAT_VERSION);
    }
    Manifest manifest =
        read.manifest().orElseThrow(() -> new DamagedArchiveException("its manifest lacks fields"));
    Map<String, VersionedValue> keys = new TreeMap<>();
    for (FileEntry file : read.files()) {
      String name = file.name();
      byte[] content = files.remove(name);
      if (content == null) {
        throw new DamagedArchiveException("file " + name + " is missing");
      }
      if (!DigestUtils.sha256Hex(content).equals(file.sha256())) {
        throw new DamagedArchiveException("file " + name + " does not match its checksum");
      }
      if (!ArchiveFormat.apply(content, keys)) {
        throw new DamagedArchiveException("file " + name + " holds no keys");
      }
    }
    if (!files.isEmpty()) {
      throw new DamagedArchiveException(
          "file " + files.keySet().iterator().next() + " is not in its manifest");
    }
    return new Archive(manifest, keys);
  }
}
