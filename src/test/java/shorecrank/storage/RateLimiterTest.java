package shorecrank.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Tests that the bucket holds the tokens of at most one second, refills at its rate and can go into
 * debt.
 */
class RateLimiterTest {
  private static MonotonicTime at(long ms) {
    return new MonotonicTime(ms);
  }

  /**
   * Columns: tokens taken from a full bucket of 10, milliseconds waited after that, whether a token
   * is available then. The bucket gets 10 tokens per second.
   */
  @ParameterizedTest
  @CsvSource({
    "9, 0, true",
    "10, 0, false",
    "10, 99, false",
    "10, 100, true",
    "25, 1599, false",
    "25, 1600, true"
  })
  void refillsAtItsRate(double taken, long waitedMs, boolean isAvailable) {
    RateLimiter limiter = new RateLimiter(10);
    limiter.take(taken, at(1000));
    assertEquals(isAvailable, limiter.has(1, at(1000 + waitedMs)));
  }

  @Test
  void holdsTokensOfAtMostOneSecond() {
    RateLimiter limiter = new RateLimiter(10);
    assertTrue(limiter.tryTake(1, at(0)));
    assertTrue(limiter.tryTake(10, at(60_000)));
    assertFalse(limiter.tryTake(1, at(60_000)));
  }

  /**
   * A demand above the tokens of one second would never be met if it had to wait until all its
   * tokens are in the bucket. It passes on a full bucket and leaves a debt.
   */
  @Test
  void demandAboveOneSecondPassesOnAFullBucket() {
    RateLimiter limiter = new RateLimiter(10);
    assertTrue(limiter.tryTake(30, at(0)));
    assertFalse(limiter.has(1, at(2000)));
    assertTrue(limiter.has(1, at(2100)));
  }

  @Test
  void drainedBucketIsEmpty() {
    RateLimiter limiter = new RateLimiter(10);
    limiter.drain();
    assertFalse(limiter.has(1, at(0)));
    assertTrue(limiter.has(1, at(100)));
  }

  @Test
  void rateChangeKeepsTokens() {
    RateLimiter limiter = new RateLimiter(10);
    limiter.take(10, at(0));
    limiter.updateRate(100);
    assertFalse(limiter.has(1, at(0)));
    assertTrue(limiter.has(1, at(10)));
    assertEquals(100, limiter.rate());
  }
}
