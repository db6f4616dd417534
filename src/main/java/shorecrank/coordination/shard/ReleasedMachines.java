package shorecrank.coordination.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * The machines that were lately released to the cloud. They no longer exist, and their names are
 * never used again, so that nothing which a record still names on them is running.
 */
public final class ReleasedMachines {
  /** How long a machine is remembered: far longer than a change of a shard's owner takes. */
  private static final long RETENTION_MS = 600_000;

  private final Map<MachineName, MonotonicTime> releasedAt = new HashMap<>();

  /** Adds machines of whose release the leader has told. */
  public void add(Collection<MachineName> names, MonotonicTime now) {
    if (!names.isEmpty()) {
      releasedAt.values().removeIf(at -> now.since(at) > RETENTION_MS);
      names.forEach(name -> releasedAt.putIfAbsent(name, now));
    }
  }

  /** Reports whether a machine was released. */
  public boolean contains(MachineName name) {
    return releasedAt.containsKey(name);
  }

  /** Returns all machines that are remembered. */
  public List<MachineName> names() {
    return List.copyOf(releasedAt.keySet());
  }
}
