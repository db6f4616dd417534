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
 * The levels that the members of the configuration have announced, since when, and how lately.
 *
 * <p>An announcement counts for the process that made it: another process of the same controller
 * begins anew.
 */
final class MemberAnnouncements {
  /**
   * The last heartbeat of a member.
   *
   * @param announcement null if it names no levels
   * @param since when this process first announced the same
   */
  private record LastHeartbeat(
      WriterId writer, Announcement announcement, MonotonicTime since, MonotonicTime heardAt) {
    boolean isRepeatedBy(WriterId other, Announcement announced) {
      return writer.equals(other) && announced != null && announced.equals(announcement);
    }
  }

  private final List<ControllerName> members;
  private final String ownDigest;
  private final Map<ControllerName, LastHeartbeat> lastHeartbeats = new HashMap<>();

  /**
   * @param members all controllers of the configuration, this one included
   * @param ownDigest the digest of this controller's shared settings
   */
  MemberAnnouncements(List<ControllerName> members, String ownDigest) {
    this.members = members;
    this.ownDigest = ownDigest;
  }

  /** Forgets all announcements, which were heard under an earlier term. */
  void reset() {
    lastHeartbeats.clear();
  }

  /** Takes a member's heartbeat; {@code announcement} is null if it names no levels. */
  void recordHeartbeat(
      ControllerName member, WriterId writer, Announcement announcement, MonotonicTime now) {
    LastHeartbeat previous = lastHeartbeats.get(member);
    boolean isSame = previous != null && previous.isRepeatedBy(writer, announcement);
    lastHeartbeats.put(
        member, new LastHeartbeat(writer, announcement, isSame ? previous.since : now, now));
  }

  /** The levels that a member supports, as it last announced. */
  LevelRange supportedLevels(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement == null ? LevelRange.UNANNOUNCED : announcement.supported();
  }

  /** What a member last announced; null if nothing. */
  Announcement announcement(ControllerName member) {
    LastHeartbeat last = lastHeartbeats.get(member);
    return last == null ? null : last.announcement;
  }

  /** Members that were heard and have not announced that they support a level. */
  List<ControllerName> membersNotSupporting(FeatureLevel level) {
    return members.stream()
        .filter(
            member ->
                lastHeartbeats.containsKey(member) && !supportedLevels(member).supports(level))
        .toList();
  }

  /** The milliseconds since a member was heard; negative if it was not under this leader. */
  long heardMsAgo(ControllerName member, MonotonicTime now) {
    LastHeartbeat last = lastHeartbeats.get(member);
    return last == null ? -1 : now.since(last.heardAt);
  }

  /** Whether a member has announced settings that differ from this controller's. */
  boolean settingsDiffer(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement != null && !announcement.settingsDigest().equals(ownDigest);
  }

  /** The highest level that all members support; the lowest while one was not heard. */
  FeatureLevel highestCommonLevel() {
    FeatureLevel highest = null;
    for (ControllerName member : members) {
      FeatureLevel level = supportedLevels(member).highest();
      highest = highest == null || level.compareTo(highest) < 0 ? level : highest;
    }
    return highest == null ? FeatureLevel.LOWEST : highest;
  }

  /**
   * Why the level may not rise yet, one line for each member that holds it back; empty if it may.
   *
   * @param heartbeatTimeoutMs a member that was not heard for longer holds it back
   * @param settleMs for how long all must have announced the same without a break
   */
  List<String> raiseBlockers(
      FeatureLevel level, MonotonicTime now, long heartbeatTimeoutMs, long settleMs) {
    List<String> blockers = new ArrayList<>();
    for (ControllerName member : members) {
      LastHeartbeat last = lastHeartbeats.get(member);
      if (last == null) {
        blockers.add(member + ": not heard by this leader yet");
      } else if (now.since(last.heardAt) > heartbeatTimeoutMs) {
        blockers.add(
            "%s: not heard for %.0f s".formatted(member, now.since(last.heardAt) / 1000.0));
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
