package shorecrank.client;

import java.util.UUID;
import picocli.CommandLine.Option;

/** The options of commands that send an order. */
final class OrderOptions {
  @Option(
      names = "--id",
      paramLabel = "ID",
      description = "id of this order; orders with the same id are carried out once")
  private String id;

  /** Returns the id from the command line, or a random one; every call returns the same id. */
  String orderId() {
    if (id == null) {
      id = UUID.randomUUID().toString();
    }
    return id;
  }
}
