package shorecrank.coordination.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.leader.CloudClient.ListingResult;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.ListedMachine;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;

/**
 * Reads the cloud's machine list and reconciles it with the leader's machines: assigns unknown
 * machines, and releases those that have failed or disappeared from the list.
 */
final class MachineListReconciler {
  /** The part of the cloud's rate limit that reading the machine list may use. */
  private static final double CALL_SHARE = 0.3;

  private static final int MS_PER_S = 1000;

  /** The minimum time between two readings of the machine list. */
  private static final long READ_INTERVAL_MS = 5000;

  /** The time between two readings of the machine list while no machine is assigned. */
  private static final long EMPTY_FLEET_INTERVAL_MS = 1000;

  /**
   * The pause before the next page is requested if the cloud's rate limit does not allow that now.
   */
  private static final long PAGE_RETRY_MS = 200;

  private static final long RETRY_MS = 2000;

  /**
   * The time, beyond the list's lag, after which a released machine that is still listed counts as
   * rented again, by a request that was carried out late.
   */
  private static final long RENTED_AGAIN_MS = 10_000;

  /**
   * Added to twice the list's lag to get the time by which a list may be outdated; a list may be
   * older than the one read before it.
   */
  private static final long LAG_MARGIN_MS = 2000;

  /** The boot time of a machine whose type is unknown, in seconds. */
  private static final double DEFAULT_BOOT_S = 60;

  /**
   * A machine that has been booting for longer than this multiple of its type's boot time, plus
   * {@link #BOOT_MARGIN_S}, has failed.
   */
  private static final int MAX_BOOT_FACTOR = 4;

  private static final double BOOT_MARGIN_S = 60;

  /** The state of a failed machine in the cloud's machine list. */
  private static final String FAILED = "failed";

  private static final String STARTING = "starting";

  /** A machine list that has been read up to the name {@code after}; each page takes one call. */
  private record PartialList(String after, Map<MachineName, ListedMachine> found) {
    int pages() {
      return 1 + found.size() / CloudMessages.MAX_PAGE;
    }
  }

  private final StepContext context;
  private final LoadedTerm loadedTerm;
  private final MachineDirectory machines;
  private final CloudClient client;
  private final MachineReleases releases;
  private final MachineAdmission admission;
  private boolean readUnderWay;

  /** The part read so far of the list whose next page is due; null if no page is due. */
  private PartialList nextPage;

  private MonotonicTime nextReadAt = new MonotonicTime(0);
  private Map<String, MachineType> catalog = Map.of();

  MachineListReconciler(
      StepContext context,
      LoadedTerm loadedTerm,
      MachineDirectory machines,
      CloudClient client,
      MachineReleases releases,
      MachineAdmission admission) {
    this.context = context;
    this.loadedTerm = loadedTerm;
    this.machines = machines;
    this.client = client;
    this.releases = releases;
    this.admission = admission;
  }

  /** Updates the machine types that the cloud offers. */
  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
  }

  /** Starts a new reading at the start of a term. */
  void beginTerm() {
    readUnderWay = false;
    nextPage = null;
    nextReadAt = context.now();
  }

  /** Reports whether a page is to be read now. */
  boolean hasWork() {
    return !context.now().isBefore(nextReadAt) && (!readUnderWay || nextPage != null);
  }

  /** Reads the next page of the current reading, or the first page of a new one. */
  void readPage() {
    if (!readUnderWay) {
      readUnderWay = true;
      nextPage = new PartialList("", new HashMap<>());
    }
    read(nextPage);
  }

  private void read(PartialList partial) {
    Revision term = loadedTerm.current();
    nextPage = null;
    client.list(
        partial.after(),
        result -> {
          if (loadedTerm.isCurrent(term)) {
            handlePage(partial, result);
          }
        });
  }

  private void handlePage(PartialList partial, ListingResult result) {
    if (!(result instanceof ListingResult.Page page)) {
      readUnderWay = false;
      nextReadAt = context.now().plus(RETRY_MS);
      return;
    }
    Map<MachineName, ListedMachine> found = partial.found();
    List<ListedMachine> onPage = page.machines();
    onPage.forEach(machine -> found.put(machine.name(), machine));
    if (page.more() && !onPage.isEmpty()) {
      nextPage = new PartialList(onPage.get(onPage.size() - 1).name().value(), found);
      if (client.tryTake()) {
        read(nextPage);
      } else {
        nextReadAt = context.now().plus(PAGE_RETRY_MS);
      }
      return;
    }
    readUnderWay = false;
    nextReadAt = context.now().plus(pauseMs(partial.pages()));
    reconcileAll(found.values());
  }

  /**
   * Returns the pause before the next reading, which is longer for a list of more pages, so that
   * calls are left for renting machines.
   */
  private long pauseMs(int pages) {
    if (machines.size() == 0) {
      return EMPTY_FLEET_INTERVAL_MS;
    }
    double callsPerMs = context.config().cloud().rps() * CALL_SHARE / MS_PER_S;
    return Math.max(READ_INTERVAL_MS, (long) (pages / callsPerMs));
  }

  private void reconcileAll(Collection<ListedMachine> listed) {
    MonotonicTime now = context.now();
    long lagMs = (long) (context.config().cloud().listLagS() * 2 * MS_PER_S) + LAG_MARGIN_MS;
    listed.forEach(machine -> reconcile(machine, lagMs, now));
    releaseUnlisted(lagMs);
    releases.removeOld(now);
    context.gauge("machines", machines.size());
  }

  private void reconcile(ListedMachine listed, long lagMs, MonotonicTime now) {
    MachineName name = listed.name();
    MonotonicTime releasedAt = releases.releasedAt(name);
    if (releasedAt != null) {
      if (now.since(releasedAt) > lagMs + RENTED_AGAIN_MS) {
        // The release was confirmed, so a late request has rented the machine again: release it.
        releases.releaseAgain(name);
      }
      return;
    }
    if (isLost(listed)) {
      if (releases.request(name)) {
        context.info(
            "machine.lost machine=%s state=%s age_s=%.0f", name, listed.state(), listed.ageS());
      }
      return;
    }
    admission.admitDiscovered(
        new MachineInfo(name, listed.type(), listed.zone(), listed.spot()),
        "source=listing state=" + listed.state());
    AssignedMachine machine = machines.get(name);
    if (machine != null) {
      machine.markListed(now);
    }
  }

  /** Reports whether a machine has failed or will never finish booting. */
  private boolean isLost(ListedMachine listed) {
    MachineType type = catalog.get(listed.type());
    double bootS = type == null ? DEFAULT_BOOT_S : type.bootS();
    return listed.state().equals(FAILED)
        || (listed.state().equals(STARTING)
            && listed.ageS() > MAX_BOOT_FACTOR * bootS + BOOT_MARGIN_S);
  }

  /**
   * Releases machines that are no longer listed.
   *
   * <p>A machine stays listed while it exists. Since lists lag behind and a later list may be
   * older, a missing entry does not prove that the machine no longer exists, but a confirmed
   * release does.
   */
  private void releaseUnlisted(long lagMs) {
    for (AssignedMachine machine : machines.all()) {
      if (machine.listedAt() != MonotonicTime.NEVER
          && context.now().since(machine.listedAt()) > lagMs
          && releases.request(machine.name())) {
        context.info("machine.unlisted machine=%s", machine.name());
      }
    }
  }
}
