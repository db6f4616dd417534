package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;

/**
 * Compresses JSON with raw DEFLATE and encodes it as unpadded Base64 text, so that the record of a
 * job with many scattered tasks fits into one value of the state service.
 */
final class CompressedJson {
  /**
   * Maximum decompressed size in bytes. No stored record is larger; a text that decompresses to
   * more is rejected.
   */
  private static final int MAX_BYTES = 8 << 20;

  private static final int BUFFER_BYTES = 4096;

  private CompressedJson() {}

  /** Compresses a JSON tree to text. */
  static String compress(JsonNode tree) {
    Deflater deflater = new Deflater(Deflater.DEFAULT_COMPRESSION, true);
    try {
      deflater.setInput(Json.bytes(tree));
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    } finally {
      deflater.end();
    }
  }

  /**
   * Decompresses a text that {@link #compress} has returned.
   *
   * @param field name of the field that holds the text, for the exception's message
   * @throws MalformedRecordException if the text is damaged, too large when decompressed, or no
   *     JSON
   */
  static JsonNode decompress(String field, String text) throws MalformedRecordException {
    Inflater inflater = new Inflater(true);
    try {
      inflater.setInput(Base64.getDecoder().decode(text));
      return Json.read(inflate(field, inflater));
    } catch (IllegalArgumentException | DataFormatException | MalformedMessageException e) {
      throw new MalformedRecordException(field, e);
    } finally {
      inflater.end();
    }
  }

  private static byte[] inflate(String field, Inflater inflater)
      throws DataFormatException, MalformedRecordException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    while (!inflater.finished()) {
      int length = inflater.inflate(buffer);
      if (length == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
        throw new MalformedRecordException(field, "is truncated");
      }
      if (out.size() + length > MAX_BYTES) {
        throw new MalformedRecordException(field, "exceeds " + MAX_BYTES + " bytes");
      }
      out.write(buffer, 0, length);
    }
    return out.toByteArray();
  }
}
