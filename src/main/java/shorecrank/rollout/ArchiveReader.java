package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.airlift.compress.zstd.ZstdInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveInputStream;
import shorecrank.protocol.Json;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveFormat.Version;

/** Reads an archive and checks all of it. */
public final class ArchiveReader {
  /** A page holds 512 KiB; a file that says it is larger than this is none of ours. */
  private static final long MAX_FILE_BYTES = 256L << 20;

  private ArchiveReader() {}

  /** An archive is damaged, or of a form that this version does not read. */
  public static final class Damaged extends Exception {
    private static final long serialVersionUID = 1L;

    Damaged(String message) {
      super(message);
    }
  }

  /** A checked archive: what it says of itself, and the keys with their values. */
  public record Archive(Manifest manifest, Map<String, Version> keys) {}

  /** Reads an archive to its end; whatever is not as it was written is named in the failure. */
  public static Archive read(InputStream in) throws Damaged {
    Map<String, byte[]> files = new LinkedHashMap<>();
    try (TarArchiveInputStream tar = new TarArchiveInputStream(new ZstdInputStream(in))) {
      for (TarArchiveEntry e = tar.getNextEntry(); e != null; e = tar.getNextEntry()) {
        checkName(e);
        if (files.putIfAbsent(e.getName(), content(tar, e)) != null) {
          throw new Damaged("file " + e.getName() + " stands in it twice");
        }
      }
    } catch (IOException | RuntimeException e) {
      // The libraries report damaged input by exceptions of either kind.
      throw new Damaged("not a complete archive: " + e.getMessage());
    }
    byte[] manifestFile = files.remove(ArchiveFormat.MANIFEST);
    if (manifestFile == null) {
      throw new Damaged("it has no " + ArchiveFormat.MANIFEST + ", so it is not complete");
    }
    return checked(Json.parse(manifestFile), files);
  }

  private static void checkName(TarArchiveEntry e) throws Damaged {
    boolean known =
        e.getName().equals(ArchiveFormat.MANIFEST)
            || ArchiveFormat.FILE_NAME.matcher(e.getName()).matches();
    if (!known || !e.isFile()) {
      throw new Damaged("file name " + e.getName() + " is not one of an archive's");
    }
    if (e.getSize() > MAX_FILE_BYTES) {
      throw new Damaged("file " + e.getName() + " is larger than any of an archive's");
    }
  }

  private static byte[] content(TarArchiveInputStream tar, TarArchiveEntry e)
      throws IOException, Damaged {
    byte[] content = tar.readNBytes((int) e.getSize());
    if (content.length < e.getSize()) {
      throw new Damaged("file " + e.getName() + " is cut short");
    }
    return content;
  }

  private static Archive checked(JsonNode n, Map<String, byte[]> files) throws Damaged {
    long version = Json.count(n.path(ArchiveFormat.VERSION_FIELD));
    if (version != ArchiveFormat.VERSION) {
      throw new Damaged(
          "format "
              + version
              + " is not read by this version, which reads "
              + ArchiveFormat.VERSION);
    }
    Manifest manifest = Manifest.read(n);
    if (manifest == null) {
      throw new Damaged("its manifest lacks fields");
    }
    Map<String, Version> keys = new TreeMap<>();
    for (JsonNode file : n.path(ArchiveFormat.FILES)) {
      String name = Json.text(file.path(ArchiveFormat.NAME));
      byte[] content = files.remove(name);
      if (content == null) {
        throw new Damaged("file " + name + " is missing");
      }
      if (!DigestUtils.sha256Hex(content).equals(Json.text(file.path(ArchiveFormat.SHA256)))) {
        throw new Damaged("file " + name + " does not match its checksum");
      }
      if (!ArchiveFormat.read(Json.parse(content), keys)) {
        throw new Damaged("file " + name + " holds no keys");
      }
    }
    if (!files.isEmpty()) {
      throw new Damaged("file " + files.keySet().iterator().next() + " is not in its manifest");
    }
    return new Archive(manifest, keys);
  }
}
