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
 * The types of machines that can be rented.
 *
 * <p>Each controller reads them from the state service and, if they are not stored there, from the
 * cloud. The leader stores the types that it has read from the cloud, so that other controllers can
 * start while the cloud does not answer. After the first successful read only the leader reads the
 * types again.
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
   * @param updateListener receives the types after each successful read; the map is never empty
   */
  MachineTypeCatalog(
      StepContext context, Election election, Consumer<Map<String, MachineType>> updateListener) {
    this.context = context;
    this.election = election;
    this.updateListener = updateListener;
  }

  /** Reports whether the types have not been read yet. */
  boolean isEmpty() {
    return types.isEmpty();
  }

  /**
   * Starts reading the types if a read is due: while none are known, from the state service or else
   * from the cloud; later only from the cloud, and only if this controller leads.
   */
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
          Map<String, MachineType> readTypes =
              status == OK ? CloudCodec.readCatalog(body) : Map.<String, MachineType>of();
          if (readTypes.isEmpty()) {
            nextAt = context.now().plus(RETRY_MS);
            return;
          }
          nextAt = context.now().plus(REFRESH_MS);
          update(readTypes);
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

  private void update(Map<String, MachineType> readTypes) {
    if (!readTypes.isEmpty()) {
      types = readTypes;
      updateListener.accept(readTypes);
    }
  }
}
