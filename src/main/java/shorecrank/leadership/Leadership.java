package shorecrank.leadership;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages.Transaction;

/** The election as a state machine of the leader sees it: its term, and the keys that show it. */
public interface Leadership {
  /** Whether no other process can lead now, by this process's clock. */
  boolean isLeading();

  /** The revision of the leader's key under which this process leads, or last saw another lead. */
  Revision term();

  /** Makes a transaction fail unless this process still leads under the term. */
  void guard(Transaction transaction);

  /** Adds to a transaction what changes in the leader's keys when this level comes into force. */
  void addLevelSwitch(Transaction transaction, FeatureLevel to);

  /** A transaction with a level switch was carried out, at that revision. */
  void levelSwitched(FeatureLevel to, Revision revision);
}
