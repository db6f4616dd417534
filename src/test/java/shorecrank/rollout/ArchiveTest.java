package shorecrank.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.airlift.compress.zstd.ZstdOutputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveOutputStream;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveReader.Archive;
import shorecrank.rollout.ArchiveReader.DamagedArchiveException;

/** Tests that archives are read as written, and that damaged ones are rejected with a reason. */
class ArchiveTest {
  private static final Manifest MANIFEST = new Manifest("a-1", "build", 1, 5, 9, true, 77);

  private static byte[] archive() {
    ArchiveWriter writer = new ArchiveWriter();
    List<Entry> page = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      page.add(new Entry("j/wk-" + i, Json.object().put("n", i), new Revision(3), 0));
    }
    writer.addEntries(ArchiveFormat.writeEntries(page));
    writer.addChanges(
        ArchiveFormat.writeChanges(
            List.of(
                new Change("j/wk-1", null, new Revision(7)),
                new Change("j/wk-2", Json.object().put("n", "new"), new Revision(8)),
                new Change("j/wk-900", Json.object(), new Revision(9)))));
    writer.finish(MANIFEST);
    return writer.take(Integer.MAX_VALUE);
  }

  private static Archive read(byte[] bytes) throws DamagedArchiveException {
    return ArchiveReader.read(new ByteArrayInputStream(bytes));
  }

  @Test
  void archiveHoldsKeysWithLaterChangesApplied() throws Exception {
    Archive archive = read(archive());
    assertEquals(MANIFEST, archive.manifest());
    assertEquals(300, archive.keys().size());
    assertTrue(!archive.keys().containsKey("j/wk-1"));
    assertEquals("new", archive.keys().get("j/wk-2").data().path("n").asText());
    assertEquals(9, archive.keys().get("j/wk-900").revision());
  }

  @Test
  void archiveTakenInChunksIsComplete() throws Exception {
    ArchiveWriter writer = new ArchiveWriter();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int number = 0; number < 40; number++) {
      byte[] noise = new byte[200_000];
      new Random(number).nextBytes(noise);
      String text = Base64.getEncoder().encodeToString(noise);
      Entry entry = new Entry("f/" + number, Json.object().put("t", text), new Revision(number), 0);
      writer.addEntries(ArchiveFormat.writeEntries(List.of(entry)));
      while (writer.availableBytes() >= 1000) {
        all.writeBytes(writer.take(1000));
      }
    }
    assertTrue(all.size() > 0, "nothing was ready before the end");
    writer.finish(MANIFEST);
    all.writeBytes(writer.take(Integer.MAX_VALUE));
    assertEquals(40, read(all.toByteArray()).keys().size());
  }

  @Test
  void truncationsAndChangedBytesAreDetected() throws Exception {
    byte[] whole = archive();
    Archive expected = read(whole);
    for (int length = 0; length < whole.length; length += 7) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(DamagedArchiveException.class, () -> read(cut), "cut to " + length);
    }
    for (int at = 0; at < whole.length; at += 3) {
      byte[] changed = whole.clone();
      changed[at] ^= 0x10;
      try {
        // A change in padding or another unused byte must not change the keys that are read.
        assertEquals(expected.keys(), read(changed).keys(), "byte " + at);
      } catch (DamagedArchiveException e) {
        assertTrue(!e.getMessage().isBlank());
      }
    }
  }

  /** Returns a compressed tar file with the given names and contents in turn. */
  private static byte[] tar(String... namesAndContents) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (TarArchiveOutputStream tar = new TarArchiveOutputStream(new ZstdOutputStream(out))) {
      for (int i = 0; i < namesAndContents.length; i += 2) {
        byte[] content = namesAndContents[i + 1].getBytes(StandardCharsets.UTF_8);
        TarArchiveEntry entry = new TarArchiveEntry(namesAndContents[i], true);
        entry.setSize(content.length);
        tar.putArchiveEntry(entry);
        tar.write(content);
        tar.closeArchiveEntry();
      }
    }
    return out.toByteArray();
  }

  private static String manifest(int format, String files) {
    return new String(ArchiveFormat.writeManifest(MANIFEST, List.of()), StandardCharsets.UTF_8)
        .replace("\"format\":1", "\"format\":" + format)
        .replace("\"files\":[]", files);
  }

  @Test
  void malformedArchiveIsRefusedWithItsReason() throws Exception {
    String digest = DigestUtils.sha256Hex("[]");
    String file = "\"files\":[{\"name\":\"entries/000001.json\",\"sha256\":\"" + digest + "\"}]";
    assertEquals(
        0,
        read(tar("entries/000001.json", "[]", "manifest.json", manifest(1, file))).keys().size());
    String[][] refused = {
      {"format 2", "entries/000001.json", "[]", "manifest.json", manifest(2, file)},
      {"no manifest", "entries/000001.json", "[]"},
      {"missing", "manifest.json", manifest(1, file)},
      {
        "not in its manifest",
        "entries/000001.json",
        "[]",
        "entries/000002.json",
        "[]",
        "manifest.json",
        manifest(1, file)
      },
      {"checksum", "entries/000001.json", "[ ]", "manifest.json", manifest(1, file)},
      {"file name", "../outside", "x", "manifest.json", manifest(1, file)},
      {"file name", "/etc/passwd", "x"},
      {"file name", "entries/../../x.json", "x"},
      {"twice", "entries/000001.json", "[]", "entries/000001.json", "[]"},
    };
    for (String[] testCase : refused) {
      byte[] bytes = tar(Arrays.copyOfRange(testCase, 1, testCase.length));
      DamagedArchiveException e =
          assertThrows(DamagedArchiveException.class, () -> read(bytes), testCase[0]);
      String message = e.getMessage().replace("it has no manifest", "no manifest");
      assertTrue(message.contains(testCase[0]), testCase[0] + ": " + e.getMessage());
    }
  }
}
