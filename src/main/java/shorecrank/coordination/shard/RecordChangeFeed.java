package shorecrank.coordination.shard;

import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.storage.JobRecord;
import shorecrank.storage.WatchResult;

/**
 * Follows the changes of all job records from a listing on: by watches, which wait for the next
 * change, and by reads, which return at once. Each change is passed on once, in the order of the
 * revisions.
 *
 * <p>The state service answers with all changes up to the revision of the answer, and that revision
 * is not lower than any that it had answered before the request was sent. So once a read is
 * complete, its listener knows everything that any controller had read or written before the read
 * was sent.
 */
final class RecordChangeFeed {
  private static final int WATCH_RETRY_MS = 200;

  /**
   * Pause between watches. Each watch costs one request, whatever the number of changes that it
   * reports, so a few watches per second suffice.
   */
  private static final int WATCH_PAUSE_MS = 250;

  /**
   * Longest time that the state service holds a watch open. It bounds how far {@link #shownUpTo},
   * which advances only when a listing, a watch or a read is answered, falls behind.
   */
  private static final int WATCH_HOLD_MS = 2000;

  /** Receives what the state service has shown. */
  interface Listener {
    /** Called for each change of a record, of any shard. */
    void onChange(Change change);

    /** Called when changes were missed, so that all records must be listed again. */
    void onCompacted();
  }

  private final StepContext context;
  private final Listener listener;
  private boolean following;

  /** Increases with each start and stop, so that answers to earlier requests are recognized. */
  private long generation;

  private boolean watchInProgress;
  private MonotonicTime nextWatchAt = new MonotonicTime(0);

  /** Revision of the state service up to which all changes have been passed on. */
  private long revision;

  /** Time up to which the state service has shown all changes. */
  private MonotonicTime shownUpTo = MonotonicTime.NEVER;

  RecordChangeFeed(StepContext context, Listener listener) {
    this.context = context;
    this.listener = listener;
  }

  /**
   * Begins to follow the changes after a listing.
   *
   * @param listedRevision revision of the listing's first page
   * @param listedAt when the listing began
   */
  void start(long listedRevision, MonotonicTime listedAt) {
    following = true;
    generation++;
    revision = listedRevision;
    advanceShownUpTo(listedAt);
  }

  /** Ends following the changes, until the records have been listed again. */
  void stop() {
    following = false;
    generation++;
  }

  /** Reports whether the records were listed and their changes are followed. */
  boolean isFollowing() {
    return following;
  }

  /** Returns the revision of the state service up to which all changes have been passed on. */
  long revision() {
    return revision;
  }

  /**
   * Returns the time up to which the state service has shown all changes, including cancellations;
   * {@link MonotonicTime#NEVER} before the first listing.
   */
  MonotonicTime shownUpTo() {
    return shownUpTo;
  }

  private void advanceShownUpTo(MonotonicTime sent) {
    if (shownUpTo.isBefore(sent)) {
      shownUpTo = sent;
    }
  }

  /** Opens a watch, unless one is open or the last one was answered recently. */
  void watchIfDue() {
    if (!following || watchInProgress || context.now().isBefore(nextWatchAt)) {
      return;
    }
    watchInProgress = true;
    long sentIn = generation;
    long sentAfter = revision;
    MonotonicTime sent = context.now();
    context.count("state.requests.by.watch");
    context
        .store()
        .watch(
            JobRecord.LIVE_PREFIX,
            sentAfter,
            WATCH_HOLD_MS,
            result -> {
              watchInProgress = false;
              if (sentIn == generation) {
                scheduleNextWatch(handle(result, sent, sentAfter));
              }
            });
  }

  private void scheduleNextWatch(boolean isAnswered) {
    int pauseMs = WATCH_PAUSE_MS;
    if (!isAnswered) {
      context.count("shard.watch.unanswered");
      pauseMs = WATCH_RETRY_MS + context.random().nextInt(WATCH_RETRY_MS);
    }
    nextWatchAt = context.now().plus(pauseMs);
  }

  /**
   * Reads the changes that the state service has now.
   *
   * @param onRead receives whether everything that the state service had shown to anybody before
   *     this call has been passed to the listener
   */
  void read(int timeoutMs, Consumer<Boolean> onRead) {
    if (!following) {
      onRead.accept(false);
      return;
    }
    long sentIn = generation;
    long sentAfter = revision;
    MonotonicTime sent = context.now();
    context.count("state.requests.by.change_read");
    context
        .store()
        .readChanges(
            JobRecord.LIVE_PREFIX,
            sentAfter,
            timeoutMs,
            result -> {
              context.duration("changes.read.round_trip", context.now().since(sent));
              onRead.accept(sentIn == generation && handle(result, sent, sentAfter));
            });
  }

  /**
   * Handles the answer to a watch or a read.
   *
   * @param sentAfter the revision that the state service had shown when the request was sent
   * @return whether it shows all changes up to the time when the request was sent
   */
  private boolean handle(WatchResult result, MonotonicTime sent, long sentAfter) {
    if (result instanceof WatchResult.Compacted) {
      listener.onCompacted();
      return false;
    }
    if (!(result instanceof WatchResult.Changes changes)) {
      return false;
    }
    if (changes.revision() < sentAfter) {
      context.reportError(
          "store.revision.went_back",
          "store.revision.went_back revision=%d shown_before=%d"
              .formatted(changes.revision(), sentAfter));
      return false;
    }
    long passedOn = revision;
    for (Change change : changes.changes()) {
      // Answers to a watch and a read may overlap: a change that was passed on before is skipped.
      if (change.revision().value() > passedOn) {
        listener.onChange(change);
      }
    }
    revision = Math.max(passedOn, changes.revision());
    advanceShownUpTo(sent);
    return true;
  }
}
