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
 * Compares the cloud's list of machines with those that are known: assigns what is new, and returns
 * what has failed or is listed no more.
 */
final class MachineListing {
  /** Reading the machine list may take this share of the cloud's calls. */
  private static final double CALL_SHARE = 0.3;

  private static final int MS_PER_S = 1000;

  /** The machine list is read again after so long at the earliest. */
  private static final long READ_INTERVAL_MS = 5000;

  /** While no machine is known the list is read more often. */
  private static final long EMPTY_FLEET_INTERVAL_MS = 1000;

  /** A page that must wait for the cloud's rate limit is tried again after so long. */
  private static final long PAGE_RETRY_MS = 200;

  private static final long RETRY_MS = 2000;

  /**
   * A released machine that is listed for so long beyond the list's lag has been rented again, by a
   * request that was carried out late.
   */
  private static final long RENTED_AGAIN_MS = 10_000;

  /** Added to twice the list's lag, in which lists may still go backwards. */
  private static final long LAG_MARGIN_MS = 2000;

  /** The time to boot of a machine whose type is not known. */
  private static final double DEFAULT_BOOT_S = 60;

  /** A machine that takes longer to boot than so many times what its type needs never will. */
  private static final int MAX_BOOT_FACTOR = 4;

  private static final double BOOT_MARGIN_S = 60;

  /** Phases of a machine as the cloud names them. */
  private static final String FAILED = "failed";

  private static final String STARTING = "starting";

  /** The machine list as read up to a name; each page is a call of its own. */
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

  /** The page of the machine list that is to be read next; null while none waits. */
  private PartialList nextPage;

  private MonotonicTime nextReadAt = new MonotonicTime(0);
  private Map<String, MachineType> catalog = Map.of();

  MachineListing(
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

  /** Takes in the machine types that the cloud offers. */
  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
  }

  /** A term has begun: the list is read at once. */
  void beginTerm() {
    readUnderWay = false;
    nextPage = null;
    nextReadAt = context.now();
  }

  /** Whether a page is to be read now. */
  boolean hasWork() {
    return !context.now().isBefore(nextReadAt) && (!readUnderWay || nextPage != null);
  }

  /** Reads the page that is due: the next one, or the first of a new reading. */
  void readPage() {
    if (!readUnderWay) {
      readUnderWay = true;
      nextPage = new PartialList("", new HashMap<>());
    }
    read(nextPage);
  }

  private void read(PartialList soFar) {
    Revision term = loadedTerm.current();
    nextPage = null;
    client.list(
        soFar.after(),
        result -> {
          if (loadedTerm.isCurrent(term)) {
            handlePage(soFar, result);
          }
        });
  }

  private void handlePage(PartialList soFar, ListingResult result) {
    if (!(result instanceof ListingResult.Page page)) {
      readUnderWay = false;
      nextReadAt = context.now().plus(RETRY_MS);
      return;
    }
    Map<MachineName, ListedMachine> found = soFar.found();
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
    nextReadAt = context.now().plus(pauseMs(soFar.pages()));
    reconcileAll(found.values());
  }

  /** So that reading the list, however many pages it has, leaves calls for renting. */
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
    releases.forgetOld(now);
    context.gauge("machines", machines.size());
  }

  private void reconcile(ListedMachine listed, long lagMs, MonotonicTime now) {
    MachineName name = listed.name();
    MonotonicTime releasedAt = releases.releasedAt(name);
    if (releasedAt != null) {
      if (now.since(releasedAt) > lagMs + RENTED_AGAIN_MS) {
        // Its release was answered, so a late request has rented it again: return it.
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

  /** It has failed, or will never come up. */
  private boolean isLost(ListedMachine listed) {
    MachineType type = catalog.get(listed.type());
    double bootS = type == null ? DEFAULT_BOOT_S : type.bootS();
    return listed.state().equals(FAILED)
        || (listed.state().equals(STARTING)
            && listed.ageS() > MAX_BOOT_FACTOR * bootS + BOOT_MARGIN_S);
  }

  /**
   * Once listed, a machine stays listed until it is gone; lists lag and go backwards, so this alone
   * proves nothing. Its release, answered 200, does.
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
