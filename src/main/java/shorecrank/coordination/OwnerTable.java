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
 * The known owner of each shard. The owners are taken from the leader's answers to heartbeats and,
 * while the leader does not answer, from the state service.
 */
final class OwnerTable {
  /**
   * How long without an answer from the leader until the owners are read from the state service.
   */
  private static final int LEADER_SILENCE_MS = 2500;

  private static final int READ_TIMEOUT_MS = 1500;
  private static final int MAX_SHARDS = 200;

  /**
   * The shortest pause between two reads of the owners. A random time below {@link
   * #READ_PAUSE_JITTER_MS} is added to it.
   */
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
   * @param observer receives every reported owner, also one that the table already holds
   */
  OwnerTable(StepContext context, Consumer<OwnerInfo> observer) {
    this.context = context;
    this.observer = observer;
  }

  /** Returns the shard's owner, which may be this controller, or null if it is not known. */
  OwnerInfo find(ShardId shard) {
    return owners.get(shard);
  }

  /** Returns the name of the shard's owner; empty if it is unknown or is this controller. */
  Optional<ControllerName> findOther(ShardId shard) {
    OwnerInfo owner = owners.get(shard);
    if (owner == null || owner.controller().equals(context.config().label())) {
      return Optional.empty();
    }
    return Optional.of(owner.controller());
  }

  /** Returns an unmodifiable view of the known owners, ordered by shard. */
  Collection<OwnerInfo> all() {
    return Collections.unmodifiableCollection(owners.values());
  }

  /** Reports whether the leader has ever answered a heartbeat of this process. */
  boolean hasLeaderContact() {
    return lastLeaderContactAt != MonotonicTime.NEVER;
  }

  /**
   * Records that the leader has answered a heartbeat. The owners that the answer names are passed
   * to {@link #replaceAll}.
   */
  void recordLeaderContact() {
    lastLeaderContactAt = context.now();
  }

  /** Replaces all known owners with the given ones, also where their epochs are lower. */
  void replaceAll(List<OwnerInfo> all) {
    owners.clear();
    all.forEach(this::observe);
  }

  /**
   * Records a shard's owner, unless an owner at the same or a higher epoch is already known. The
   * observer receives the owner in both cases.
   */
  void observe(OwnerInfo owner) {
    OwnerInfo known = owners.get(owner.shard());
    if (known == null || owner.epoch().isAbove(known.epoch())) {
      owners.put(owner.shard(), owner);
    }
    observer.accept(owner);
  }

  /**
   * Starts reading the owners from the state service if the leader does not answer. Otherwise this
   * controller would go on redirecting workers to an owner that has been replaced.
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
        .list(ShardOwnerCodec.PREFIX, "", MAX_SHARDS, READ_TIMEOUT_MS, this::handleOwnersRead);
  }

  private void handleOwnersRead(ListResult result) {
    isReading = false;
    nextReadAt = context.now().plus(READ_PAUSE_MS + context.random().nextInt(READ_PAUSE_JITTER_MS));
    if (result instanceof ListResult.Page page) {
      page.entries().forEach(entry -> observe(ShardOwnerCodec.read(entry.value())));
    }
  }
}
