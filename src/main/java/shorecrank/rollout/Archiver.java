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
 * Creates archives of the state service's keys, one at a time. While none is being created, it
 * deletes old archives.
 */
final class Archiver {
  /** Minimum delay before another automatic archive is started after one has failed. */
  private static final long RETRY_MS = 10_000;

  private static final DateTimeFormatter ID_TIME =
      DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'").withZone(ZoneOffset.UTC);

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final String build;
  private final ArchiveCleaner cleaner;

  /**
   * The archive that is being written, or is complete and not yet released by {@link #release};
   * null if there is none.
   */
  private ArchiveTask task;

  private MonotonicTime retryAt = MonotonicTime.NEVER;

  /**
   * Creates an archiver with no archive under way.
   *
   * @param build the version of this program
   * @param archivesToKeep the number of complete archives kept in the state service
   */
  Archiver(LeaderEnvironment environment, Leadership leadership, String build, int archivesToKeep) {
    this.environment = environment;
    this.leadership = leadership;
    this.build = build;
    this.cleaner = new ArchiveCleaner(environment, leadership, archivesToKeep);
  }

  /**
   * Returns the id of the archive that is being written or is complete but not released; empty if
   * there is none.
   */
  Optional<String> currentId() {
    return Optional.ofNullable(task).map(ArchiveTask::id);
  }

  /** Returns the id of the archive that is complete but not released; empty if there is none. */
  Optional<String> completeId() {
    return Optional.ofNullable(task).filter(ArchiveTask::isDone).map(ArchiveTask::id);
  }

  /** Returns an id for a new archive, made of the wall-clock time in UTC and the leader's term. */
  String newId() {
    String time = ID_TIME.format(Instant.ofEpochMilli(environment.wallMs()));
    return time + "-" + leadership.term();
  }

  /**
   * Starts an archive unless one exists that is not released, or the last one failed less than
   * {@link #RETRY_MS} ago.
   *
   * @param level the feature level in force
   */
  void startIfPossible(FeatureLevel level) {
    if (task == null && !environment.now().isBefore(retryAt)) {
      start(newId(), level);
    }
  }

  /**
   * Starts an archive.
   *
   * @param id the id of the archive, from {@link #newId}
   * @param level the feature level in force
   */
  void start(String id, FeatureLevel level) {
    environment.info("archive.started id=%s", id);
    task = new ArchiveTask(environment, leadership, id, build, level);
  }

  /** Continues writing the archive; if there is none, continues deleting old archives. */
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

  /**
   * Drops the complete archive, once its id has been stored in the feature level's key. Another
   * archive may then be started, and old ones deleted.
   */
  void release() {
    task = null;
    cleaner.scheduleScan();
  }

  /**
   * Abandons an archive that was started under an earlier term, and schedules a scan that deletes
   * what was written of it.
   */
  void reset() {
    task = null;
    cleaner.scheduleScan();
  }
}
