package shorecrank.coordination.shard;

import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.storage.JobRecord;
import shorecrank.storage.ListResult;

/**
 * Reads a shard's records from the state service: all of them when the ownership begins, then,
 * through its {@link RecordChangeFeed}, the changes since the revision of the listing's first page.
 * If changes were missed, all records are read again.
 */
final class ShardRecovery {
  private static final int PAGE_ENTRIES = 200;
  private static final int LIST_TIMEOUT_MS = 4000;

  /**
   * Shortest pause before the listing starts again after a page could not be read. A random time
   * below {@link #LIST_RETRY_SPREAD_MS} is added.
   */
  private static final int LIST_RETRY_MS = 200;

  private static final int LIST_RETRY_SPREAD_MS = 300;
  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final JobLifecycle lifecycle;
  private final WriteOutcomeResolver resolver;
  private final DependencyGraph dependencies;
  private final CancellationLog cancellations;

  private boolean ready;
  private MonotonicTime readySince = MonotonicTime.NEVER;
  private boolean restartRequested;

  /** Increases with each listing, so that answers to an earlier one are recognized. */
  private long listingNumber;

  private boolean listingInProgress;

  /** Number of pages of the current listing that were read. */
  private int pages;

  private MonotonicTime listRetryAt = new MonotonicTime(0);

  /** Revision of the listing's first page; -1 until that page is read. */
  private long listedRevision;

  private final RecordChangeFeed changes;

  ShardRecovery(
      StepContext context,
      ShardLease lease,
      ShardJobs jobs,
      JobLifecycle lifecycle,
      WriteOutcomeResolver resolver,
      DependencyGraph dependencies,
      CancellationLog cancellations) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.resolver = resolver;
    this.dependencies = dependencies;
    this.cancellations = cancellations;
    this.changes = new RecordChangeFeed(context, new ChangeListener());
  }

  /** Returns the feed of the records' changes, which is stopped while they are listed. */
  RecordChangeFeed changes() {
    return changes;
  }

  /** Reports whether all records have been read. */
  boolean isReady() {
    return ready;
  }

  /**
   * Returns when the last complete listing of all records ended; {@link MonotonicTime#NEVER} if
   * there was none.
   */
  MonotonicTime readySince() {
    return readySince;
  }

  /**
   * Requests that all records be read again if any job is relinquished, since it may belong to this
   * owner again under the higher epoch.
   */
  void handleEpochRaised() {
    restartRequested |= jobs.hasRelinquished();
  }

  /** Reads all records again if that is requested and no write is in flight. */
  void restartIfRequested(boolean isWriteInFlight) {
    if (restartRequested && !isWriteInFlight) {
      restartRequested = false;
      restart("epoch_raised");
    }
  }

  /**
   * Removes all jobs, so that a new listing can begin.
   *
   * @param reason why the records are read again, for the log
   */
  private void restart(String reason) {
    context.count("shard.recovery.restarts");
    context.info(
        "shard.recovery.restarted shard=%s epoch=%s reason=%s pages=%d revision=%d",
        lease.shard(),
        lease.epoch(),
        reason,
        pages,
        changes.isFollowing() ? changes.revision() : listedRevision);
    changes.stop();
    lifecycle.removeAll();
    ready = false;
    listingInProgress = false;
    listingNumber++;
  }

  // ---- listing ---------------------------------------------------------------------------------

  /** Starts a listing of all records, unless one is in progress or it is too soon to try again. */
  void listIfDue() {
    if (!listingInProgress && !context.now().isBefore(listRetryAt)) {
      list();
    }
  }

  /** Starts a listing of all records. */
  void list() {
    listingInProgress = true;
    listedRevision = -1;
    pages = 0;
    listPage("", ++listingNumber, context.now());
  }

  private void listPage(String after, long ofListingNumber, MonotonicTime began) {
    context.count("state.requests.by.recovery");
    context
        .store()
        .list(
            JobRecord.LIVE_PREFIX,
            after,
            PAGE_ENTRIES,
            LIST_TIMEOUT_MS,
            result -> {
              if (ofListingNumber != listingNumber || lease.isEnded()) {
                return;
              }
              if (result instanceof ListResult.Page page) {
                handlePage(page, ofListingNumber, began);
              } else {
                listRetryAt =
                    context
                        .now()
                        .plus(LIST_RETRY_MS + context.random().nextInt(LIST_RETRY_SPREAD_MS));
                restart("page_unavailable");
              }
            });
  }

  private void handlePage(ListResult.Page page, long ofListingNumber, MonotonicTime began) {
    pages++;
    if (listedRevision < 0) {
      listedRevision = page.revision();
    }
    String last = "";
    for (Entry entry : page.entries()) {
      last = entry.key();
      JobRecord record = JobRecord.read(entry.value());
      if (record == null) {
        context.reportUnreadableValue(entry.key());
      } else if (isOfShard(record)) {
        lifecycle.addListed(record, entry.revision());
      }
    }
    if (page.more() && !last.isEmpty()) {
      listPage(last, ofListingNumber, began);
      return;
    }
    listingInProgress = false;
    changes.start(listedRevision, began);
    ready = true;
    readySince = context.now();
    new TakeoverLog(context, lease, jobs).logRecovered(listedRevision, began, pages);
  }

  private boolean isOfShard(JobRecord record) {
    return lease.isOfShard(record.spec().team());
  }

  // ---- changes ---------------------------------------------------------------------------------

  /**
   * Opens a watch for further changes. Its answer holds all changes since the last one, whatever
   * their number. After a network partition that would be megabytes of changes by the owner that
   * has taken over meanwhile, all of them useless here, so there is no watch without a valid lease.
   */
  void watchIfDue() {
    if (lease.isValid()) {
      changes.watchIfDue();
    }
  }

  /** Stops the feed of changes, because the ownership has ended. */
  void close() {
    changes.stop();
  }

  /** Applies the changes to the shard's jobs. */
  private final class ChangeListener implements RecordChangeFeed.Listener {
    @Override
    public void onChange(Change change) {
      handleChange(new JobId(change.key().substring(JobRecord.LIVE_PREFIX.length())), change);
    }

    @Override
    public void onCompacted() {
      restart("changes_compacted");
    }
  }

  /**
   * Handles a change of a record: a new job, a user's cancellation mark, or a write of this owner
   * or another.
   */
  private void handleChange(JobId id, Change change) {
    boolean isMarked = JobRecord.isMarkedCancelled(change.value());
    if (isMarked) {
      cancellations.recordCancelled(id);
      dependencies.onJobCancelled(id);
    } else if (change.value() == null) {
      dependencies.onRecordDeleted(id);
    }
    if (jobs.isRelinquished(id)) {
      return;
    }
    Job job = jobs.find(id);
    if (job == null) {
      addIfNewJob(id, change);
      return;
    }
    job.record().observe(change);
    if (isMarked && !job.isCancelled()) {
      // The mark is committed, since the watch shows it, so the job is cancelled at once: reading
      // the record again may fail for a long time.
      lifecycle.onCancelled(job);
    }
    resolver.rereadIfOutdated(job);
  }

  private void addIfNewJob(JobId id, Change change) {
    // A change of an unknown job may be a late one of a job that has ended, so a job is added only
    // for a record that no owner has written yet.
    JobRecord record =
        JobRecord.isUnclaimed(change.value()) ? JobRecord.read(change.value()) : null;
    if (record != null && record.spec().id().equals(id) && isOfShard(record)) {
      lifecycle.addWatched(record, change.revision());
    }
  }
}
