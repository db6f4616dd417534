package shorecrank.client;

import java.util.UUID;
import picocli.CommandLine.Option;

/** The options of every command that gives an order. */
final class OrderOptions {
  @Option(
      names = "--id",
      paramLabel = "ID",
      description = "names this order: under one id it is carried out once")
  private String id;

  /** The id that was given, or a new one; the same at each call. */
  String orderId() {
    if (id == null) {
      id = UUID.randomUUID().toString();
    }
    return id;
  }
}
