package shorecrank.leadership;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * The outcome of the election for a state machine that runs on the leader: whether this process
 * leads, its term, and guards for transactions that only the leader may commit.
 */
public interface Leadership {
  /** Reports whether this process leads, so that by its clock no other process can lead now. */
  boolean isLeading();

  /**
   * Returns the current term: the revision of the leader's key with which this process leads, or
   * with which it last saw another process lead.
   */
  Revision term();

  /** Adds guards that make the transaction fail unless this process still leads in this term. */
  void guard(Transaction transaction);

  /** Adds to a transaction the changes of the leader's keys that a new feature level requires. */
  void addLevelSwitch(Transaction transaction, FeatureLevel to);

  /** Called after a transaction that switches to a feature level was committed at a revision. */
  void onLevelSwitched(FeatureLevel to, Revision revision);
}
