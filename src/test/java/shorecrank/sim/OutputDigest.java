package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Json;

/**
 * A hash over every reply and call of the controllers of one world, in order, with controller and
 * simulated time.
 *
 * <p>The hash covers only what other processes can observe: no name of a Java type, no log line and
 * no metric. Two versions of the program that yield the same digest for a scenario and seed behave
 * identically in that run.
 */
final class OutputDigest {
  private final MessageDigest digest = DigestUtils.getSha256Digest();
  private long outputs;

  /**
   * Adds an output of a controller; log lines and metrics are ignored.
   *
   * @param timeMs the simulated time in milliseconds
   */
  void add(String node, long timeMs, Output output) {
    if (output instanceof Output.Reply reply) {
      begin(node, timeMs, "reply");
      add(reply.reply());
      add(reply.status());
      add(reply.body());
      add(reply.retryAfterS());
    } else if (output instanceof Output.Call call) {
      begin(node, timeMs, "call");
      add(call.call());
      addTarget(call.target());
      add(call.method());
      add(call.path());
      add(call.body());
      add(call.timeoutMs());
    }
  }

  /** Returns the number of outputs and their hash. Nothing can be added afterwards. */
  String finish() {
    return outputs + " " + Hex.encodeHexString(digest.digest());
  }

  private void begin(String node, long timeMs, String kind) {
    outputs++;
    add(node);
    add(timeMs);
    add(kind);
  }

  private void addTarget(Output.Target target) {
    if (target instanceof Output.Worker worker) {
      add("worker");
      add(worker.address());
    } else if (target instanceof Output.Peer peer) {
      add("peer");
      add(peer.label().value());
    } else {
      add(target == Output.Service.STATE ? "state" : "cloud");
    }
  }

  private void add(JsonNode body) {
    add(body == null ? new byte[0] : Json.bytes(body));
  }

  private void add(String text) {
    add(text.getBytes(StandardCharsets.UTF_8));
  }

  private void add(byte[] bytes) {
    add(bytes.length);
    digest.update(bytes);
  }

  private void add(long number) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
  }
}
