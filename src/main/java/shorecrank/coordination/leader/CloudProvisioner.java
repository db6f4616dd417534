package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import shorecrank.coordination.leader.MachineDirectory.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.ListedMachine;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages.CapacityRequest;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.PeerMessages.UnavailableOffer;
import shorecrank.storage.RateLimiter;

/** The leader's dealings with the cloud: renting, giving back, and reading the machine list. */
final class CloudProvisioner {
  private static final int CALL_MS = 6000;

  /** Other controllers read the machine types now and then. */
  private static final double RATE_SHARE = 0.9;

  /** So many claims are under way at once. */
  private static final int MAX_CLAIMS = 8;

  /** A kind that was refused is asked for again after so long, then twice that, up to the most. */
  private static final long BLOCK_MS = 4_000;

  private static final long BLOCK_MAX_MS = 10_000;
  private static final int MAX_DOUBLINGS = 4;

  /** An owner's request for more machines than the cloud could rent in this time is cut there. */
  private static final int REQUEST_HORIZON_S = 60;

  /** Reading the machine list may take this share of the cloud's calls. */
  private static final double LISTING_SHARE = 0.3;

  /** The machine list is read again after so long at the earliest. */
  private static final long LIST_PAUSE_MS = 5000;

  /** While no machine is known the list is read more often. */
  private static final long EMPTY_LIST_PAUSE_MS = 1000;

  /** A page that must wait for the cloud's rate limit is tried again after so long. */
  private static final long PAGE_RETRY_MS = 200;

  private static final long LIST_RETRY_MS = 2000;
  private static final long CALL_RETRY_MS = 1000;

  /** Owners are told of a released machine for so long. */
  private static final long TELL_RELEASED_MS = 60_000;

  private static final long KEEP_RELEASED_MS = 600_000;

  /** Beyond the list's lag a released machine that is listed has come back under a held request. */
  private static final long BACK_AGAIN_MS = 10_000;

  /** A request to rent, under a name that is never used for another. */
  private record Claim(String name, Offer offer, int count, ShardId shard) {}

  /** The machine list as read up to a name; each page is a call of its own. */
  private record PartialList(String after, Map<MachineName, ListedMachine> found) {
    int pages() {
      return 1 + found.size() / CloudMessages.MAX_PAGE;
    }
  }

  private final StepContext context;
  private final MachineDirectory machines;
  private final Supplier<Revision> loadedTerm;
  private final BiConsumer<MachineInfo, ShardId> rented;
  private final BiConsumer<MachineInfo, String> met;
  private final RateLimiter calls;
  private final Map<MachineName, MonotonicTime> released = new HashMap<>();
  private final Map<Offer, MonotonicTime> blockedUntil = new LinkedHashMap<>();
  private final Map<Offer, Integer> refusals = new HashMap<>();
  private final Set<MachineName> toRelease = new LinkedHashSet<>();
  private final Set<MachineName> releasing = new LinkedHashSet<>();
  private final ArrayDeque<Claim> claims = new ArrayDeque<>();

  /** Names of claims that may have been carried out. */
  private final Set<String> tried = new HashSet<>();

  private int claiming;
  private long claimCount;
  private boolean releasingNow;
  private boolean listing;

  /** The page of the machine list that is to be read next; null while none waits. */
  private PartialList nextPage;

  private MonotonicTime listAt = new MonotonicTime(0);
  private MonotonicTime retryAt = new MonotonicTime(0);
  private Map<String, MachineType> catalog = Map.of();

  /**
   * @param loadedTerm the term under which the leader works now; answers of another are ignored
   * @param rented takes a machine that was rented for a shard
   * @param met takes a machine that the list shows, and how it was found
   */
  CloudProvisioner(
      StepContext context,
      MachineDirectory machines,
      Supplier<Revision> loadedTerm,
      BiConsumer<MachineInfo, ShardId> rented,
      BiConsumer<MachineInfo, String> met) {
    this.context = context;
    this.machines = machines;
    this.loadedTerm = loadedTerm;
    this.rented = rented;
    this.met = met;
    this.calls = new RateLimiter(context.config.cloud().rps() * RATE_SHARE);
  }

  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
  }

  /** A term has begun: what the last one asked for is found in the machine list. */
  void began() {
    claims.clear();
    tried.clear();
    toRelease.clear();
    releasing.clear();
    blockedUntil.clear();
    claiming = 0;
    listing = false;
    nextPage = null;
    releasingNow = false;
    listAt = context.now();
  }

  /** Once a round. */
  void tick() {
    MonotonicTime now = context.now();
    if (now.before(retryAt)) {
      return;
    }
    if (!toRelease.isEmpty() && !releasingNow && calls.tryTake(1, now)) {
      release();
    }
    while (!claims.isEmpty() && claiming < MAX_CLAIMS && calls.tryTake(1, now)) {
      claim(claims.poll());
    }
    if (!now.before(listAt) && (!listing || nextPage != null) && calls.tryTake(1, now)) {
      if (!listing) {
        listing = true;
        nextPage = new PartialList("", new HashMap<>());
      }
      list(nextPage);
    }
  }

  // ---- renting ---------------------------------------------------------------------------------

  /** Whether nothing is being rented. */
  boolean isIdle() {
    return claims.isEmpty() && claiming == 0;
  }

  /** Rents what an owner asks for, but kinds that were refused lately. */
  void request(ShardId shard, List<CapacityRequest> requests) {
    for (CapacityRequest r : requests) {
      MonotonicTime until = blockedUntil.get(r.offer());
      if (r.count() <= 0 || (until != null && !until.before(context.now()))) {
        continue;
      }
      for (int left = Math.min(r.count(), mostRequested()); left > 0; ) {
        int count = Math.min(left, CloudMessages.MAX_RENT);
        String name = "sc-" + loadedTerm.get() + "-" + ++claimCount;
        claims.add(new Claim(name, r.offer(), count, shard));
        left -= count;
      }
    }
  }

  private int mostRequested() {
    double most = context.config.cloud().rps() * REQUEST_HORIZON_S;
    return (int) Math.max(1, most) * CloudMessages.MAX_RENT;
  }

  private void claim(Claim c) {
    claiming++;
    Revision term = loadedTerm.get();
    context.cloud(
        "POST",
        CloudMessages.RENT,
        CloudMessages.rent(c.name(), c.offer(), c.count()),
        CALL_MS,
        (status, body) -> {
          if (loadedTerm.get().equals(term)) {
            claiming--;
            claimed(c, status, body);
          }
        });
  }

  private void claimed(Claim c, int status, JsonNode body) {
    if (status == 200) {
      List<MachineName> got = CloudMessages.rented(body);
      for (MachineName name : got) {
        if (!machines.contains(name)) {
          Offer offer = c.offer();
          rented.accept(new MachineInfo(name, offer.type(), offer.zone(), offer.spot()), c.shard());
        }
      }
      context.info("claim %s: %d of %d %s", c.name(), got.size(), c.count(), c.offer());
      if (got.size() < c.count()) {
        block(c.offer());
      } else {
        refusals.remove(c.offer());
      }
    } else if (status == 503 && "no capacity".equals(Json.text(body.path("error")))) {
      block(c.offer());
    } else if (status == 400) {
      context.error("claim %s: refused as malformed: %s", c.name(), c.offer());
      block(c.offer());
    } else {
      // It may have been carried out: the same name again, and never another for it.
      claims.addFirst(c);
      tried.add(c.name());
      retryAt = context.now().plus(CALL_RETRY_MS);
    }
  }

  private void block(Offer o) {
    // Those not yet sent would be refused too; their owners ask for something else.
    claims.removeIf(c -> c.offer().equals(o) && !tried.contains(c.name()));
    if (context.now().before(blockedUntil.getOrDefault(o, MonotonicTime.NEVER))) {
      return;
    }
    int n = refusals.merge(o, 1, Integer::sum);
    long ms = Math.min(BLOCK_MAX_MS, BLOCK_MS << Math.min(n - 1, MAX_DOUBLINGS));
    blockedUntil.put(o, context.now().plus(ms));
    context.info("no capacity for %s, again in %d ms", o, ms);
  }

  /** Kinds that were refused, and for how long they are not asked for. */
  List<UnavailableOffer> blocked() {
    List<UnavailableOffer> blocked = new ArrayList<>();
    blockedUntil.forEach(
        (offer, until) -> {
          if (context.now().before(until)) {
            blocked.add(new UnavailableOffer(offer, until.since(context.now())));
          }
        });
    return blocked;
  }

  // ---- giving back -----------------------------------------------------------------------------

  /** The machine is to be given back. */
  void giveBack(MachineName name) {
    if (!releasing.contains(name)) {
      toRelease.add(name);
    }
  }

  boolean isReleasing(MachineName name) {
    return releasing.contains(name);
  }

  /** Whether its release was answered: it is gone, with all that ran on it. */
  boolean wasReleased(MachineName name) {
    return released.containsKey(name);
  }

  List<MachineName> releasedLately() {
    List<MachineName> lately = new ArrayList<>();
    released.forEach(
        (name, at) -> {
          if (context.now().since(at) < TELL_RELEASED_MS) {
            lately.add(name);
          }
        });
    return lately;
  }

  private void release() {
    releasingNow = true;
    List<MachineName> batch = toRelease.stream().limit(CloudMessages.MAX_RELEASE).toList();
    batch.forEach(toRelease::remove);
    releasing.addAll(batch);
    Revision term = loadedTerm.get();
    context.cloud(
        "POST",
        CloudMessages.RELEASE,
        CloudMessages.release(batch),
        CALL_MS,
        (status, body) -> {
          if (!loadedTerm.get().equals(term)) {
            return;
          }
          releasingNow = false;
          batch.forEach(releasing::remove);
          if (status == 200) {
            batch.forEach(this::gone);
            context.count("machine.released");
          } else {
            toRelease.addAll(batch);
            retryAt = context.now().plus(CALL_RETRY_MS);
          }
        });
  }

  private void gone(MachineName name) {
    released.put(name, context.now());
    machines.remove(name);
    context.info("machine %s: released", name);
  }

  // ---- the machine list ------------------------------------------------------------------------

  private void list(PartialList soFar) {
    Revision term = loadedTerm.get();
    nextPage = null;
    context.cloud(
        "GET",
        CloudMessages.list(soFar.after()),
        null,
        CALL_MS,
        (status, body) -> {
          if (loadedTerm.get().equals(term)) {
            listedPage(soFar, status, body);
          }
        });
  }

  private void listedPage(PartialList soFar, int status, JsonNode body) {
    if (status != 200) {
      listing = false;
      listAt = context.now().plus(LIST_RETRY_MS);
      return;
    }
    Map<MachineName, ListedMachine> found = soFar.found();
    List<ListedMachine> page = CloudMessages.listed(body);
    page.forEach(l -> found.put(l.name(), l));
    if (CloudMessages.more(body) && !page.isEmpty()) {
      nextPage = new PartialList(page.get(page.size() - 1).name().value(), found);
      if (calls.tryTake(1, context.now())) {
        list(nextPage);
      } else {
        listAt = context.now().plus(PAGE_RETRY_MS);
      }
      return;
    }
    listing = false;
    listAt = context.now().plus(listPauseMs(soFar.pages()));
    listed(found.values());
  }

  /** So that reading the list, however many pages it has, leaves calls for renting. */
  private long listPauseMs(int pages) {
    if (machines.size() == 0) {
      return EMPTY_LIST_PAUSE_MS;
    }
    double callsPerMs = context.config.cloud().rps() * LISTING_SHARE / 1000;
    return Math.max(LIST_PAUSE_MS, (long) (pages / callsPerMs));
  }

  private void listed(Collection<ListedMachine> found) {
    MonotonicTime now = context.now();
    long lag = (long) (context.config.cloud().listLagS() * 2000) + 2000;
    for (ListedMachine l : found) {
      MonotonicTime at = released.get(l.name());
      if (at != null) {
        if (now.since(at) > lag + BACK_AGAIN_MS) {
          // The release was answered, so this can only be a machine that came back under a held
          // request; return it.
          released.remove(l.name());
          toRelease.add(l.name());
        }
        continue;
      }
      if (isLost(l)) {
        if (!releasing.contains(l.name()) && toRelease.add(l.name())) {
          context.info("machine %s: %s for %.0f s, returned", l.name(), l.state(), l.ageS());
        }
        continue;
      }
      met.accept(
          new MachineInfo(l.name(), l.type(), l.zone(), l.spot()),
          "source=listing state=" + l.state());
      Machine machine = machines.get(l.name());
      if (machine != null) {
        machine.listedAt = now;
      }
    }
    returnUnlisted(lag);
    released.values().removeIf(at -> now.since(at) > KEEP_RELEASED_MS);
    context.gauge("machines", machines.size());
  }

  /** It has failed, or will never come up. */
  private boolean isLost(ListedMachine l) {
    MachineType type = catalog.get(l.type());
    double boot = type == null ? 60 : type.bootS();
    return l.state().equals("failed") || (l.state().equals("starting") && l.ageS() > 4 * boot + 60);
  }

  /**
   * Once listed, a machine stays listed until it is gone; lists lag and go backwards, so this alone
   * proves nothing. Its release, answered 200, does.
   */
  private void returnUnlisted(long lag) {
    for (Machine machine : machines.all()) {
      MachineName name = machine.info.name();
      if (machine.listedAt != MonotonicTime.NEVER
          && context.now().since(machine.listedAt) > lag
          && !releasing.contains(name)
          && toRelease.add(name)) {
        context.info("machine %s: no longer listed", name);
      }
    }
  }
}
