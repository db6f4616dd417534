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
 * Which levels the members of the configuration have announced, for how long, and how lately.
 *
 * <p>An announcement counts for the process that made it: another process under the same label
 * begins anew.
 */
final class SupportVotes {
  private static final class Vote {
    WriterId writer;
    Announcement announcement;
    MonotonicTime heardAt;
    MonotonicTime since;
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

  /** What an earlier leader heard counts for nothing. */
  void reset() {
    votes.clear();
  }

  /** A heartbeat has come; {@code announcement} is null if it names no levels. */
  void heard(ControllerName label, WriterId writer, Announcement announcement, MonotonicTime now) {
    Vote vote = votes.computeIfAbsent(label, l -> new Vote());
    boolean same =
        writer.equals(vote.writer)
            && announcement != null
            && announcement.equals(vote.announcement);
    if (!same) {
      vote.writer = writer;
      vote.announcement = announcement;
      vote.since = now;
    }
    vote.heardAt = now;
  }

  /** The levels a controller supports, as last announced. */
  LevelRange supported(ControllerName label) {
    Announcement announcement = announcement(label);
    return announcement == null ? LevelRange.UNANNOUNCED : announcement.supported();
  }

  /** What a controller last announced; null if nothing. */
  Announcement announcement(ControllerName label) {
    Vote vote = votes.get(label);
    return vote == null ? null : vote.announcement;
  }

  /** Members that were heard and have not announced that they support a level. */
  List<ControllerName> unsupporting(FeatureLevel level) {
    return members.stream()
        .filter(label -> votes.containsKey(label) && !supported(label).supports(level))
        .toList();
  }

  /** How long a controller has not been heard; negative if never under this leader. */
  long heardMsAgo(ControllerName label, MonotonicTime now) {
    Vote vote = votes.get(label);
    return vote == null ? -1 : now.since(vote.heardAt);
  }

  /** Whether a controller has announced settings that differ from ours where they must not. */
  boolean settingsDiffer(ControllerName label) {
    Announcement announcement = announcement(label);
    return announcement != null && !announcement.settingsDigest().equals(ownDigest);
  }

  /** The highest level that all members support; the lowest while one was not heard. */
  FeatureLevel highestOfAll() {
    FeatureLevel highest = null;
    for (ControllerName label : members) {
      FeatureLevel one = supported(label).highest();
      highest = highest == null || one.compareTo(highest) < 0 ? one : highest;
    }
    return highest == null ? FeatureLevel.LOWEST : highest;
  }

  /**
   * Why the level may not rise yet, a line for each member that holds it back; empty if it may.
   *
   * @param freshMs a member not heard for longer holds it back
   * @param settleMs so long all must have announced the same without a break
   */
  List<String> reasonsAgainst(FeatureLevel level, MonotonicTime now, long freshMs, long settleMs) {
    List<String> reasons = new ArrayList<>();
    for (ControllerName label : members) {
      Vote vote = votes.get(label);
      if (vote == null) {
        reasons.add(label + ": not heard by this leader yet");
      } else if (now.since(vote.heardAt) > freshMs) {
        reasons.add("%s: not heard for %.0f s".formatted(label, now.since(vote.heardAt) / 1000.0));
      } else if (vote.announcement == null) {
        reasons.add(label + ": announces no levels, so it counts as level 0");
      } else if (!vote.announcement.supported().supports(level)) {
        reasons.add(
            "%s: build %s supports levels %s, not %s"
                .formatted(label, vote.announcement.build(), vote.announcement.supported(), level));
      } else if (settingsDiffer(label)) {
        reasons.add(label + ": its shared settings differ from the leader's");
      } else if (now.since(vote.since) < settleMs) {
        reasons.add(
            "%s: has announced this for %.0f of %.0f s"
                .formatted(label, now.since(vote.since) / 1000.0, settleMs / 1000.0));
      }
    }
    return reasons;
  }
}
