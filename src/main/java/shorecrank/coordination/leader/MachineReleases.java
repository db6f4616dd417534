package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;

/** Releases machines to the cloud, and remembers which were released. */
final class MachineReleases {
  /** The time for which heartbeat answers that carry all assignments list a released machine. */
  private static final long ANNOUNCE_RELEASED_MS = 60_000;

  private static final long RELEASED_RETENTION_MS = 600_000;

  private final StepContext context;
  private final LoadedTerm loadedTerm;
  private final MachineDirectory machines;
  private final CloudClient client;
  private final Map<MachineName, MonotonicTime> released = new HashMap<>();
  private final Set<MachineName> toRelease = new LinkedHashSet<>();
  private final Set<MachineName> releasing = new LinkedHashSet<>();
  private boolean callPending;

  MachineReleases(
      StepContext context, LoadedTerm loadedTerm, MachineDirectory machines, CloudClient client) {
    this.context = context;
    this.loadedTerm = loadedTerm;
    this.machines = machines;
    this.client = client;
  }

  /**
   * Drops pending releases at the start of a term; owners and the machine list request them again.
   */
  void beginTerm() {
    toRelease.clear();
    releasing.clear();
    callPending = false;
  }

  /**
   * Requests the release of a machine.
   *
   * @return false if the machine is already waiting for its release or being released
   */
  boolean request(MachineName name) {
    return !releasing.contains(name) && toRelease.add(name);
  }

  /** Reports whether the release of a machine was sent to the cloud and has no answer yet. */
  boolean isReleasing(MachineName name) {
    return releasing.contains(name);
  }

  /**
   * Reports whether the release of a machine was confirmed: the machine and its tasks no longer
   * exist.
   */
  boolean wasReleased(MachineName name) {
    return released.containsKey(name);
  }

  /** Returns when the release of a machine was confirmed; null if it was not. */
  MonotonicTime releasedAt(MachineName name) {
    return released.get(name);
  }

  /** Returns the machines whose release was confirmed within {@link #ANNOUNCE_RELEASED_MS}. */
  List<MachineName> recentlyReleased() {
    List<MachineName> recent = new ArrayList<>();
    released.forEach(
        (name, at) -> {
          if (context.now().since(at) < ANNOUNCE_RELEASED_MS) {
            recent.add(name);
          }
        });
    return recent;
  }

  /** Requests another release of a released machine that exists again. */
  void releaseAgain(MachineName name) {
    released.remove(name);
    toRelease.add(name);
  }

  /** Removes releases that were confirmed more than {@link #RELEASED_RETENTION_MS} ago. */
  void removeOld(MonotonicTime now) {
    released.values().removeIf(at -> now.since(at) > RELEASED_RETENTION_MS);
  }

  /** Reports whether machines wait for their release and no call is pending. */
  boolean hasWork() {
    return !toRelease.isEmpty() && !callPending;
  }

  /** Sends the release of the waiting machines, as many as one call takes. */
  void send() {
    callPending = true;
    List<MachineName> batch = toRelease.stream().limit(CloudMessages.MAX_RELEASE).toList();
    batch.forEach(toRelease::remove);
    releasing.addAll(batch);
    Revision term = loadedTerm.current();
    client.release(
        batch,
        accepted -> {
          if (loadedTerm.isCurrent(term)) {
            handleAnswer(batch, accepted);
          }
        });
  }

  private void handleAnswer(List<MachineName> batch, boolean accepted) {
    callPending = false;
    batch.forEach(releasing::remove);
    if (accepted) {
      batch.forEach(this::markReleased);
      context.count("machine.released");
    } else {
      toRelease.addAll(batch);
      client.pause();
    }
  }

  private void markReleased(MachineName name) {
    released.put(name, context.now());
    machines.remove(name);
    context.info("machine.released machine=%s", name);
  }
}
