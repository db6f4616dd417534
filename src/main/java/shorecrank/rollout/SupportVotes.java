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
final class SupportVotes {
  /**
   * The last heartbeat of a member.
   *
   * @param announcement null if it names no levels
   * @param since when this process first announced the same
   */
  private record Vote(
      WriterId writer, Announcement announcement, MonotonicTime since, MonotonicTime heardAt) {
    boolean isFrom(WriterId other, Announcement announced) {
      return writer.equals(other) && announced != null && announced.equals(announcement);
    }
  }

  private final List<ControllerName> members;
  private final String ownDigest;
  private final Map<ControllerName, Vote> votes = new HashMap<>();

  /**
   * @param members all controllers of the configuration, this one included
   * @param ownDigest the digest of this controller's shared settings
   */
  SupportVotes(List<ControllerName> members, String ownDigest) {
    this.members = members;
    this.ownDigest = ownDigest;
  }

  /** Forgets all announcements, which were heard under an earlier term. */
  void reset() {
    votes.clear();
  }

  /** Takes a member's heartbeat; {@code announcement} is null if it names no levels. */
  void recordHeartbeat(
      ControllerName member, WriterId writer, Announcement announcement, MonotonicTime now) {
    Vote known = votes.get(member);
    boolean isSame = known != null && known.isFrom(writer, announcement);
    votes.put(member, new Vote(writer, announcement, isSame ? known.since : now, now));
  }

  /** The levels that a member supports, as it last announced. */
  LevelRange supported(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement == null ? LevelRange.UNANNOUNCED : announcement.supported();
  }

  /** What a member last announced; null if nothing. */
  Announcement announcement(ControllerName member) {
    Vote vote = votes.get(member);
    return vote == null ? null : vote.announcement;
  }

  /** Members that were heard and have not announced that they support a level. */
  List<ControllerName> membersNotSupporting(FeatureLevel level) {
    return members.stream()
        .filter(member -> votes.containsKey(member) && !supported(member).supports(level))
        .toList();
  }

  /** The milliseconds since a member was heard; negative if it was not under this leader. */
  long heardMsAgo(ControllerName member, MonotonicTime now) {
    Vote vote = votes.get(member);
    return vote == null ? -1 : now.since(vote.heardAt);
  }

  /** Whether a member has announced settings that differ from this controller's. */
  boolean settingsDiffer(ControllerName member) {
    Announcement announcement = announcement(member);
    return announcement != null && !announcement.settingsDigest().equals(ownDigest);
  }

  /** The highest level that all members support; the lowest while one was not heard. */
  FeatureLevel highestOfAll() {
    FeatureLevel highest = null;
    for (ControllerName member : members) {
      FeatureLevel level = supported(member).highest();
      highest = highest == null || level.compareTo(highest) < 0 ? level : highest;
    }
    return highest == null ? FeatureLevel.LOWEST : highest;
  }

  /**
   * Why the level may not rise yet, one line for each member that holds it back; empty if it may.
   *
   * @param freshMs a member that was not heard for longer holds it back
   * @param settleMs for how long all must have announced the same without a break
   */
  List<String> reasonsAgainst(FeatureLevel level, MonotonicTime now, long freshMs, long settleMs) {
    List<String> reasons = new ArrayList<>();
    for (ControllerName member : members) {
      Vote vote = votes.get(member);
      if (vote == null) {
        reasons.add(member + ": not heard by this leader yet");
      } else if (now.since(vote.heardAt) > freshMs) {
        reasons.add("%s: not heard for %.0f s".formatted(member, now.since(vote.heardAt) / 1000.0));
      } else if (vote.announcement == null) {
        reasons.add(member + ": announces no levels, so it counts as level 0");
      } else if (!vote.announcement.supported().supports(level)) {
        reasons.add(
            "%s: build %s supports levels %s, not %s"
                .formatted(
                    member, vote.announcement.build(), vote.announcement.supported(), level));
      } else if (settingsDiffer(member)) {
        reasons.add(member + ": its shared settings differ from the leader's");
      } else if (now.since(vote.since) < settleMs) {
        reasons.add(
            "%s: has announced this for %.0f of %.0f s"
                .formatted(member, now.since(vote.since) / 1000.0, settleMs / 1000.0));
      }
    }
    return reasons;
  }
}
