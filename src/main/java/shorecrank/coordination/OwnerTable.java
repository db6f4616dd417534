package shorecrank.coordination;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import shorecrank.coordination.leader.ShardOwnerCodec;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.storage.ListResult;

/**
 * Which controller owns which shard: from the leader's answers and, while those don't come, from
 * the state service.
 */
final class OwnerTable {
  /** After so long without an answer of the leader the owners are read from the store. */
  private static final int LEADER_SILENCE_MS = 2500;

  private static final int READ_TIMEOUT_MS = 1500;
  private static final int READ_LIMIT = 200;

  /** The pause between two reads lies between this and half as much again. */
  private static final int READ_PAUSE_MS = 800;

  private static final int READ_PAUSE_JITTER_MS = 400;

  private final StepContext context;
  private final Consumer<OwnerInfo> observer;
  private final Map<ShardId, OwnerInfo> owners = new TreeMap<>();
  private MonotonicTime lastLeaderContactAt = MonotonicTime.NEVER;
  private boolean isReading;
  private MonotonicTime nextReadAt = new MonotonicTime(0);

  /**
   * Creates an empty table.
   *
   * @param observer takes every owner that is heard of, also one that is known
   */
  OwnerTable(StepContext context, Consumer<OwnerInfo> observer) {
    this.context = context;
    this.observer = observer;
  }

  /** The shard's owner as known here, which may be this controller; null if it is not known. */
  OwnerInfo find(ShardId shard) {
    return owners.get(shard);
  }

  /** The label of the shard's owner if that is known and is another controller. */
  Optional<ControllerName> findOther(ShardId shard) {
    OwnerInfo owner = owners.get(shard);
    if (owner == null || owner.controller().equals(context.config().label())) {
      return Optional.empty();
    }
    return Optional.of(owner.controller());
  }

  /** The known owners by shard. */
  Collection<OwnerInfo> all() {
    return Collections.unmodifiableCollection(owners.values());
  }

  /** Whether the leader has ever told the owners to this process. */
  boolean hasLeaderContact() {
    return lastLeaderContactAt != MonotonicTime.NEVER;
  }

  /** An answer of the leader has arrived; {@link #replaceAll} takes the owners it names. */
  void recordLeaderContact() {
    lastLeaderContactAt = context.now();
  }

  /** Forgets all owners and takes these. */
  void replaceAll(List<OwnerInfo> all) {
    owners.clear();
    all.forEach(this::observe);
  }

  /** Takes an owner that was heard of; one at a lower epoch than the known one changes nothing. */
  void observe(OwnerInfo owner) {
    OwnerInfo known = owners.get(owner.shard());
    if (known == null || owner.epoch().isAbove(known.epoch())) {
      owners.put(owner.shard(), owner);
    }
    observer.accept(owner);
  }

  /**
   * Reads the owners from the store while the leader's answers don't come. Without it controllers
   * would go on naming an owner that has been replaced, and workers would be sent back to it for
   * ever.
   */
  void tick() {
    MonotonicTime now = context.now();
    if (now.since(lastLeaderContactAt) < LEADER_SILENCE_MS
        || isReading
        || now.isBefore(nextReadAt)) {
      return;
    }
    isReading = true;
    context
        .store()
        .list(ShardOwnerCodec.PREFIX, "", READ_LIMIT, READ_TIMEOUT_MS, this::handleOwnersRead);
  }

  private void handleOwnersRead(ListResult result) {
    isReading = false;
    nextReadAt = context.now().plus(READ_PAUSE_MS + context.random().nextInt(READ_PAUSE_JITTER_MS));
    if (result instanceof ListResult.Page page) {
      page.entries().forEach(entry -> observe(ShardOwnerCodec.read(entry.value())));
    }
  }
}
