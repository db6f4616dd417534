package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.List;
import shorecrank.protocol.WorkerCommandCodec;
import shorecrank.protocol.WorkerMessages.WorkerCommand;

/**
 * The commands of one message to a worker, in the order of execution. A message has a largest size;
 * commands that don't fit are planned again for the next one.
 */
final class CommandBatch {
  private final List<WorkerCommand> commands = new ArrayList<>();
  private int bytesLeft = WorkerCommandCodec.MAX_COMMANDS_BYTES;
  private boolean full;

  /**
   * Adds a command if it and all commands before it fit: a start may depend on a stop before it.
   *
   * @return whether it was added
   */
  boolean add(WorkerCommand command) {
    int bytes = WorkerCommandCodec.maxBytes(command);
    full |= bytes > bytesLeft;
    if (!full) {
      bytesLeft -= bytes;
      commands.add(command);
    }
    return !full;
  }

  /** Returns the commands. */
  List<WorkerCommand> commands() {
    return commands;
  }
}
