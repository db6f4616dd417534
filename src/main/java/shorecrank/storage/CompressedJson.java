package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import shorecrank.protocol.Json;

/** JSON deflated into a text, so that a job of many scattered tasks fits into one value. */
final class CompressedJson {
  /** No record of ours is longer; a value that says so makes no sense. */
  private static final int MAX_BYTES = 8 << 20;

  private CompressedJson() {}

  static String pack(JsonNode n) {
    Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
    try {
      deflater.setInput(Json.bytes(n));
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] chunk = new byte[4096];
      while (!deflater.finished()) {
        out.write(chunk, 0, deflater.deflate(chunk));
      }
      return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    } finally {
      deflater.end();
    }
  }

  /** A missing node if the text is nothing of ours. */
  static JsonNode unpack(String text) {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(Base64.getDecoder().decode(text));
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] chunk = new byte[4096];
      while (!inflater.finished()) {
        int n = inflater.inflate(chunk);
        if (n == 0 && (inflater.needsInput() || inflater.needsDictionary())
            || out.size() + n > MAX_BYTES) {
          return MissingNode.getInstance();
        }
        out.write(chunk, 0, n);
      }
      return Json.parse(out.toByteArray());
    } catch (IllegalArgumentException | DataFormatException e) {
      return MissingNode.getInstance();
    } finally {
      inflater.end();
    }
  }
}
