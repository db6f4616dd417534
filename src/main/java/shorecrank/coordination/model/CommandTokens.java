package shorecrank.coordination.model;

import java.util.HashMap;
import java.util.Map;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.TaskAttemptId;

/**
 * The fencing tokens for commands to one worker, and the direct commands to it that may still take
 * effect.
 *
 * <p>The network may delay or duplicate a direct command. A worker rejects commands whose token is
 * below the highest one that it has seen: once a heartbeat shows a higher token than that of a
 * direct command, that command can no longer take effect.
 */
public final class CommandTokens {
  /** The token for heartbeat answers and direct commands; never decreases. */
  private FencingToken current = FencingToken.NONE;

  /** The highest token that the worker has shown; it rejects commands with a lower one. */
  private FencingToken shown = FencingToken.NONE;

  /** The tokens of direct start commands that may still take effect, by the attempt to start. */
  private final Map<TaskAttemptId, FencingToken> directStarts = new HashMap<>();

  private int unansweredDirectCommands;
  private int answeredDirectCommands;

  /** Returns the token to send with a command under an epoch. */
  public FencingToken current(Epoch epoch) {
    FencingToken lowest = FencingToken.of(epoch);
    if (lowest.isAbove(current)) {
      current = lowest;
    }
    return current;
  }

  /**
   * Returns the token to send with a heartbeat answer. It is above the tokens of all direct start
   * commands, so that those have no effect once the worker has seen it.
   */
  public FencingToken aboveDirectStarts(Epoch epoch) {
    FencingToken token = current(epoch);
    if (!token.isLast() && directStarts.containsValue(token)) {
      current = token.next();
    }
    return current;
  }

  /** Returns the highest token that the worker has shown. */
  public FencingToken shown() {
    return shown;
  }

  /**
   * Records the token that a heartbeat shows and removes direct starts with a lower token, which
   * the worker rejects from then on. A token above all that this object has returned was sent by
   * one that is forgotten; the next token is above it, so that the worker accepts it and rejects
   * the commands sent before.
   */
  void recordShown(FencingToken token) {
    shown = token;
    if (token.isAbove(current)) {
      current = token.isLast() ? token : token.next();
    }
    directStarts.values().removeIf(token::isAbove);
  }

  /**
   * Removes all direct starts, because the worker has begun a new incarnation, which rejects
   * commands sent to an earlier one.
   */
  void clearDirectStarts() {
    directStarts.clear();
  }

  /**
   * Records that a direct command was sent. The caller calls {@link #recordDirectCommandAnswered()}
   * once it is answered or times out.
   */
  public void recordDirectCommandSent() {
    unansweredDirectCommands++;
  }

  /** Records that a direct command to start an attempt was sent under a token. */
  public void recordDirectStartSent(TaskAttemptId attempt, FencingToken token) {
    directStarts.put(attempt, token);
  }

  /** Records that a direct command was answered or has timed out. */
  public void recordDirectCommandAnswered() {
    unansweredDirectCommands--;
    answeredDirectCommands++;
  }

  /**
   * Returns how many direct commands the worker may have answered since its last heartbeat. The
   * worker numbers these answers and its heartbeats in one sequence.
   */
  int possiblyAnsweredDirectCommands() {
    return answeredDirectCommands + unansweredDirectCommands;
  }

  /** Resets the count of answered direct commands, because a heartbeat has arrived. */
  void resetAnsweredDirectCommands() {
    answeredDirectCommands = 0;
  }

  /** Reports whether the worker may still execute a direct command that was sent to it. */
  public boolean hasPendingDirectCommand() {
    return unansweredDirectCommands > 0 || !directStarts.isEmpty();
  }

  /** Reports whether a direct command that was sent may still start an attempt. */
  public boolean hasPendingDirectStart(TaskAttemptId attempt) {
    return directStarts.containsKey(attempt);
  }
}
