package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Direct commands with starts that workers have received, and the late second copies of them. */
final class CarriedOutStarts {
  /** A message that a worker has received. */
  private record Message(SimulatedWorker worker, JsonNode body) {}

  private final List<Message> messages = new ArrayList<>();
  private int copies;

  /** Records direct commands that a worker has carried out and answered. */
  void record(SimulatedWorker worker, JsonNode body) {
    for (JsonNode command : body.path("orders")) {
      if (command.path("verb").asText().equals("start")) {
        messages.add(new Message(worker, body));
        return;
      }
    }
  }

  /** Delivers a copy of each recorded message; nobody receives the answers. */
  void deliverCopies() {
    copies += messages.size();
    messages.forEach(message -> message.worker.takeCommands(message.body, ReplyHandler.IGNORE));
  }

  /** Returns how many copies were delivered. */
  int copies() {
    return copies;
  }
}
