package shorecrank.leadership;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * What a state machine of the leader needs of the election: its term, and the keys that show it.
 */
public interface Leadership {
  /** Whether no other process can lead now, by our own clock. */
  boolean leading();

  /** The revision under which this process leads. */
  Revision term();

  /** Makes a transaction fail unless this process still leads under the term. */
  void guard(Transaction transaction);

  /** Adds what has to change in the leader's keys together with the level in force. */
  void addLevelSwitch(Transaction transaction, FeatureLevel to);

  /** Such a transaction was carried out, at that revision. */
  void levelSwitched(FeatureLevel to, Revision revision);
}
