package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.OK;

import java.util.Map;
import java.util.function.Consumer;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudCodec;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.ReadResult;

/**
 * The types of machines that can be rented. The leader asks the cloud for them and writes them down
 * once, so that the other controllers, and those that start while the cloud does not answer, read
 * them from the state service.
 */
final class MachineTypeCatalog {
  private static final String KEY = "catalog";
  private static final int READ_TIMEOUT_MS = 1500;
  private static final int WRITE_TIMEOUT_MS = 2000;
  private static final int CLOUD_TIMEOUT_MS = 4000;
  private static final int RETRY_MS = 1000;
  private static final int FOLLOWER_POLL_MS = 2000;
  private static final int REFRESH_MS = 60_000;

  private final StepContext context;
  private final Election election;
  private final Consumer<Map<String, MachineType>> updateListener;
  private Map<String, MachineType> types = Map.of();
  private boolean isBusy;
  private boolean isStored;
  private MonotonicTime nextAt = new MonotonicTime(0);

  /**
   * Creates an empty catalog.
   *
   * @param updateListener takes the types whenever they were read; they are never empty
   */
  MachineTypeCatalog(
      StepContext context, Election election, Consumer<Map<String, MachineType>> updateListener) {
    this.context = context;
    this.election = election;
    this.updateListener = updateListener;
  }

  /** Whether no types are known yet. */
  boolean isEmpty() {
    return types.isEmpty();
  }

  /** Reads the types if it is time to. */
  void tick() {
    MonotonicTime now = context.now();
    if (isBusy || now.isBefore(nextAt)) {
      return;
    }
    if (types.isEmpty()) {
      isBusy = true;
      context.store().read(KEY, READ_TIMEOUT_MS, this::handleStoreRead);
    } else if (election.isLeading()) {
      readFromCloud();
    } else {
      nextAt = now.plus(FOLLOWER_POLL_MS);
    }
  }

  private void handleStoreRead(ReadResult result) {
    isBusy = false;
    if (result instanceof ReadResult.Found found) {
      update(CloudCodec.readCatalog(found.entry().value()));
      isStored = true;
      nextAt = context.now().plus(RETRY_MS);
    } else {
      readFromCloud();
    }
  }

  private void readFromCloud() {
    isBusy = true;
    context.callCloud(
        "GET",
        CloudMessages.CATALOG_PATH,
        null,
        CLOUD_TIMEOUT_MS,
        (status, body) -> {
          isBusy = false;
          Map<String, MachineType> read =
              status == OK ? CloudCodec.readCatalog(body) : Map.<String, MachineType>of();
          if (read.isEmpty()) {
            nextAt = context.now().plus(RETRY_MS);
            return;
          }
          nextAt = context.now().plus(REFRESH_MS);
          update(read);
          if (!isStored && election.isLeading()) {
            store(new Transaction().guard(election.key(), election.term()).write(KEY, body));
          }
        });
  }

  private void store(Transaction transaction) {
    isStored = true;
    context
        .store()
        .commit(transaction, WRITE_TIMEOUT_MS, result -> isStored = result.isCommitted());
  }

  private void update(Map<String, MachineType> read) {
    if (!read.isEmpty()) {
      types = read;
      updateListener.accept(read);
    }
  }
}
