package shorecrank.rollout;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Optional;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.RolloutMessages.FeatureLevel;

/**
 * Makes one archive at a time; while none is being made, removes those that are no longer
 * archivesToKeep.
 */
final class Archiver {
  /** After an archive failed, the next one is begun no sooner than this. */
  private static final long RETRY_MS = 10_000;

  private static final DateTimeFormatter ID_TIME =
      DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'").withZone(ZoneOffset.UTC);

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final String build;
  private final ArchiveCleaner cleaner;

  /** The archive that is being made, or is complete and not yet released; null if there is none. */
  private ArchiveTask task;

  private MonotonicTime retryAt = MonotonicTime.NEVER;

  /**
   * @param build the version of this program
   * @param archivesToKeep how many complete archives stay in the state service
   */
  Archiver(LeaderEnvironment environment, Leadership leadership, String build, int archivesToKeep) {
    this.environment = environment;
    this.leadership = leadership;
    this.build = build;
    this.cleaner = new ArchiveCleaner(environment, leadership, archivesToKeep);
  }

  /** The id of the archive that is being made. */
  Optional<String> currentId() {
    return Optional.ofNullable(task).map(ArchiveTask::id);
  }

  /** The id of an archive that is complete and was not released yet. */
  Optional<String> completeId() {
    return Optional.ofNullable(task).filter(ArchiveTask::isDone).map(ArchiveTask::id);
  }

  /** An id for a new archive: the time of day and the leader's term. */
  String newId() {
    String time = ID_TIME.format(Instant.ofEpochMilli(environment.wallMs()));
    return time + "-" + leadership.term();
  }

  /** Begins an archive unless one is being made, or one failed lately. */
  void startIfPossible(FeatureLevel level) {
    if (task == null && !environment.now().isBefore(retryAt)) {
      start(newId(), level);
    }
  }

  /**
   * Begins an archive.
   *
   * @param level the feature level in force
   */
  void start(String id, FeatureLevel level) {
    environment.info("archive.started id=%s", id);
    task = new ArchiveTask(environment, leadership, id, build, level);
  }

  /** Goes on with the archive, or else with the removal of old ones. */
  void tick() {
    if (task == null) {
      cleaner.tick();
      return;
    }
    task.tick();
    if (task.isFailed()) {
      task = null;
      retryAt = environment.now().plus(RETRY_MS);
    }
  }

  /** The complete archive was written down: another may be made, and old ones removed. */
  void release() {
    task = null;
    cleaner.scheduleScan();
  }

  /** Gives up an archive that was begun under an earlier term. */
  void reset() {
    task = null;
    cleaner.scheduleScan();
  }
}
