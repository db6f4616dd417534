package shorecrank.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;

/**
 * The last heartbeat of each configured controller, with the feature levels that it announced.
 *
 * <p>An announcement is attributed to a process, not to a controller name: if a controller
 * restarts, the time for which it has announced its levels starts again.
 */
final class MemberAnnouncements {
  /**
   * The last heartbeat of a member.
   *
   * @param writer the process that sent it
   * @param announcement null if the heartbeat announced no levels
   * @param since the time since which this process has sent the same announcement without
   *     interruption
   * @param receivedAt when the heartbeat arrived
   */
  private record LastHeartbeat(
      WriterId writer, Announcement announcement, MonotonicTime since, MonotonicTime receivedAt) {
    /**
     * Reports whether the given heartbeat comes from the same process with the same announcement.
     */
    boolean isRepeatedBy(WriterId other, Announcement announced) {
      return writer.equals(other) && announced != null && announced.equals(announcement);
    }
  }

  private final List<ControllerName> members;
  private final String ownDigest;
  private final Map<ControllerName, LastHeartbeat> lastHeartbeats = new HashMap<>();

  /**
   * Creates an instance that has received no heartbeats.
   *
   * @param members all configured controllers, this one included
   * @param ownDigest the digest of this controller's shared settings
   */
  MemberAnnouncements(List<ControllerName> members, String ownDigest) {
    this.members = members;
    this.ownDigest = ownDigest;
  }

  /** Forgets all heartbeats, which were received in an earlier term. */
  void reset() {
    lastHeartbeats.clear();
  }

  /**
   * Records a member's heartbeat.
   *
   * @param announcement null if the heartbeat announces no levels
   */
  void recordHeartbeat(
      ControllerName member, WriterId writer, Announcement announcement, MonotonicTime now) {
    LastHeartbeat previous = lastHeartbeats.get(member);
    boolean isSame = previous != null && previous.isRepeatedBy(writer, announcement);
    lastHeartbeats.put(
        member, new LastHeartbeat(writer, announcement, isSame ? previous.since : now, now));
  }

  /**
   * Returns the levels that a member has announced in its last heartbeat; {@link
   * LevelRange#UNANNOUNCED} if it has announced none.
   */
  LevelRange supportedLevels(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement == null ? LevelRange.UNANNOUNCED : announcement.supported();
  }

  /** Returns the announcement in a member's last heartbeat; null if there is none. */
  Announcement announcement(ControllerName member) {
    LastHeartbeat last = lastHeartbeats.get(member);
    return last == null ? null : last.announcement;
  }

  /** Returns the members that have sent a heartbeat but not announced support for a level. */
  List<ControllerName> membersNotSupporting(FeatureLevel level) {
    return members.stream()
        .filter(
            member ->
                lastHeartbeats.containsKey(member) && !supportedLevels(member).supports(level))
        .toList();
  }

  /**
   * Returns the milliseconds since a member's last heartbeat; -1 if none has arrived in this term.
   */
  long msSinceHeartbeat(ControllerName member, MonotonicTime now) {
    LastHeartbeat last = lastHeartbeats.get(member);
    return last == null ? -1 : now.since(last.receivedAt);
  }

  /** Reports whether a member has announced shared settings that differ from this controller's. */
  boolean settingsDiffer(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement != null && !announcement.settingsDigest().equals(ownDigest);
  }

  /**
   * Returns the highest level that all members support; {@link FeatureLevel#LOWEST} if one of them
   * has announced none.
   */
  FeatureLevel highestCommonLevel() {
    FeatureLevel highest = null;
    for (ControllerName member : members) {
      FeatureLevel level = supportedLevels(member).highest();
      highest = highest == null || level.compareTo(highest) < 0 ? level : highest;
    }
    return highest == null ? FeatureLevel.LOWEST : highest;
  }

  /**
   * Returns the reasons why the level may not be raised yet, at most one line per member; empty if
   * it may be raised.
   *
   * @param level the level to raise to
   * @param heartbeatTimeoutMs maximum age of a member's last heartbeat in milliseconds
   * @param settleMs for how many milliseconds each member must have sent the same announcement
   *     without interruption
   */
  List<String> raiseBlockers(
      FeatureLevel level, MonotonicTime now, long heartbeatTimeoutMs, long settleMs) {
    List<String> blockers = new ArrayList<>();
    for (ControllerName member : members) {
      LastHeartbeat last = lastHeartbeats.get(member);
      if (last == null) {
        blockers.add(member + ": not heard by this leader yet");
      } else if (now.since(last.receivedAt) > heartbeatTimeoutMs) {
        blockers.add(
            "%s: not heard for %.0f s".formatted(member, now.since(last.receivedAt) / 1000.0));
      } else if (last.announcement == null) {
        blockers.add(member + ": announces no levels, so it counts as level 0");
      } else if (!last.announcement.supported().supports(level)) {
        blockers.add(
            "%s: build %s supports levels %s, not %s"
                .formatted(
                    member, last.announcement.build(), last.announcement.supported(), level));
      } else if (settingsDiffer(member)) {
        blockers.add(member + ": its shared settings differ from the leader's");
      } else if (now.since(last.since) < settleMs) {
        blockers.add(
            "%s: has announced this for %.0f of %.0f s"
                .formatted(member, now.since(last.since) / 1000.0, settleMs / 1000.0));
      }
    }
    return blockers;
  }
}
