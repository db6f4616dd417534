package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;

/**
 * Tests when a shard's lease is valid, and how long workers' leases may be renewed after its end.
 */
class ShardLeaseTest {
  private static final Epoch EPOCH = new Epoch(5);
  private static final Epoch HIGHER = new Epoch(6);

  private final StepContext context = new StepContextBuilder().build();
  private final ShardLease lease = new ShardLease(context, new ShardId(0), EPOCH);

  private static MonotonicTime at(long ms) {
    return new MonotonicTime(ms);
  }

  @Test
  void isValidOnlyBeforeGrantedEnd() {
    assertFalse(lease.isValid(), "not granted yet");
    lease.renew(EPOCH, at(100));
    assertTrue(lease.isValidAt(at(99)));
    assertFalse(lease.isValidAt(at(100)));
    lease.renew(EPOCH, at(50));
    assertTrue(lease.isValidAt(at(99)), "an earlier end does not shorten it");
  }

  @Test
  void staysRelinquishedUntilRenewed() {
    lease.renew(EPOCH, at(100));
    assertTrue(lease.relinquish("test"));
    assertFalse(lease.isValid());
    assertFalse(lease.relinquish("test"), "already relinquished");
    lease.renew(EPOCH, at(100));
    assertFalse(lease.isRelinquished());
    assertTrue(lease.isValid());
  }

  @Test
  void higherEpochClearsEarlierRefusal() {
    lease.recordRefusal(HIGHER);
    lease.recordRefusal(EPOCH);
    assertEquals(HIGHER, lease.refusedBy());
    assertFalse(lease.renew(EPOCH, at(100)));
    assertEquals(HIGHER, lease.refusedBy());
    assertTrue(lease.renew(HIGHER, at(100)));
    assertEquals(Epoch.NONE, lease.refusedBy());
    assertEquals(EPOCH, lease.firstEpoch());
  }

  @ParameterizedTest
  @CsvSource({
    // expiredForMs, isIsolated, isMissingManyWorkers, isInGrace; the state service is unreachable
    "-1, false, false, false",
    "0, true, false, true",
    "11999, true, false, true",
    "12000, true, false, false",
    "12000, true, true, true",
    "12000, false, false, true",
    "59999, false, false, true",
    "60000, false, true, false",
  })
  void gracePeriodLastsTwoLeasesWhenIsolated(
      long expiredForMs, boolean isIsolated, boolean isMissingManyWorkers, boolean isInGrace) {
    lease.renew(EPOCH, at(100));
    context.begin(at(100 + expiredForMs), 0, 1);
    assertEquals(isInGrace, lease.isInGrace(isIsolated, isMissingManyWorkers));
  }
}
