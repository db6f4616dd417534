package shorecrank.coordination.model;

import java.util.HashMap;
import java.util.Map;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.TaskAttemptId;

/**
 * The fencing tokens of the commands to one worker, and the direct commands that may yet act.
 *
 * <p>A direct command may be delayed or duplicated on its way. It goes out under a token of its
 * own; once the worker has shown a higher one, the command can have no effect any more.
 */
public final class CommandTokens {
  /** What answers and commands carry; numbers under one epoch only rise. */
  private FencingToken current = FencingToken.NONE;

  /** The highest token that the worker has shown: below that it takes no command any more. */
  private FencingToken shown = FencingToken.NONE;

  /** Attempts started by a direct command that may yet act, and its token. */
  private final Map<TaskAttemptId, FencingToken> directStarts = new HashMap<>();

  private int unansweredDirectCommands;
  private int answeredDirectCommands;

  /** The token to use at this epoch. */
  public FencingToken current(Epoch epoch) {
    FencingToken least = FencingToken.of(epoch);
    if (least.isAbove(current)) {
      current = least;
    }
    return current;
  }

  /** The token of an answer: above that of all direct starts, so that it ends them. */
  public FencingToken aboveDirectStarts(Epoch epoch) {
    FencingToken token = current(epoch);
    if (!token.isLast() && directStarts.containsValue(token)) {
      current = token.next();
    }
    return current;
  }

  /** The highest token that the worker has shown. */
  public FencingToken shown() {
    return shown;
  }

  /** Takes in the token that a heartbeat shows. */
  void show(FencingToken token) {
    shown = token;
    directStarts.values().removeIf(token::isAbove);
  }

  /** The worker has begun a new incarnation, which takes no command of an earlier one. */
  void forgetDirectStarts() {
    directStarts.clear();
  }

  /** A direct command is on its way; {@link #directCommandAnswered()} follows in any case. */
  public void directCommandSent() {
    unansweredDirectCommands++;
  }

  /** A direct start is on its way under a token. */
  public void directStartSent(TaskAttemptId attempt, FencingToken token) {
    directStarts.put(attempt, token);
  }

  /** A direct command was answered or has timed out. */
  public void directCommandAnswered() {
    unansweredDirectCommands--;
    answeredDirectCommands++;
  }

  /**
   * The direct commands since the last heartbeat that may have been answered; the worker numbers
   * their answers together with its heartbeats.
   */
  int possiblyAnsweredDirectCommands() {
    return answeredDirectCommands + unansweredDirectCommands;
  }

  /** Counts the direct commands answered before the next heartbeat anew. */
  void resetAnsweredDirectCommands() {
    answeredDirectCommands = 0;
  }

  /** Whether a direct command may yet be carried out. */
  public boolean hasPendingDirectCommand() {
    return unansweredDirectCommands > 0 || !directStarts.isEmpty();
  }

  /** Whether a direct command may yet start this attempt. */
  public boolean hasPendingDirectStart(TaskAttemptId attempt) {
    return directStarts.containsKey(attempt);
  }
}
