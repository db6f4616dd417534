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

/** Returns machines to the cloud, and remembers which it has returned. */
final class MachineReleases {
  /** Owners are told of a released machine for so long. */
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

  /** A term has begun: what was to be returned is found again. */
  void beginTerm() {
    toRelease.clear();
    releasing.clear();
    callPending = false;
  }

  /** The machine is to be returned; false if it is being returned, or is to be, already. */
  boolean request(MachineName name) {
    return !releasing.contains(name) && toRelease.add(name);
  }

  /** Whether the cloud was told to take the machine, and has not yet answered. */
  boolean isReleasing(MachineName name) {
    return releasing.contains(name);
  }

  /** Whether its release was answered: it is gone, with all that ran on it. */
  boolean wasReleased(MachineName name) {
    return released.containsKey(name);
  }

  /** When its release was answered; null if it was not. */
  MonotonicTime releasedAt(MachineName name) {
    return released.get(name);
  }

  /** Machines whose release was answered lately. */
  List<MachineName> recentlyReleased() {
    List<MachineName> lately = new ArrayList<>();
    released.forEach(
        (name, at) -> {
          if (context.now().since(at) < ANNOUNCE_RELEASED_MS) {
            lately.add(name);
          }
        });
    return lately;
  }

  /** A released machine is there again: it is to be returned once more. */
  void releaseAgain(MachineName name) {
    released.remove(name);
    toRelease.add(name);
  }

  /** Forgets what was released long ago. */
  void forgetOld(MonotonicTime now) {
    released.values().removeIf(at -> now.since(at) > RELEASED_RETENTION_MS);
  }

  /** Whether a call could be made now. */
  boolean hasWork() {
    return !toRelease.isEmpty() && !callPending;
  }

  /** Returns the machines that wait, as many as go into one call. */
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
