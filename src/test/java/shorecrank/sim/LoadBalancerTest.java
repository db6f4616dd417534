package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests what the load balancer concludes from probes and connections. */
class LoadBalancerTest {
  private final Simulation sim = new Simulation(1);
  private final BackendHealth health = new BackendHealth(sim);

  private void probe(boolean success) {
    health.beginProbe().finish(success);
    sim.runUntil(sim.now() + 1000);
  }

  @Test
  void oneSuccessIsEnoughAtFirst() {
    assertFalse(health.isUsable());
    probe(true);
    assertTrue(health.isUsable());
  }

  @Test
  void twoFailuresInARowRemove() {
    probe(true);
    probe(false);
    assertTrue(health.isUsable());
    probe(false);
    assertFalse(health.isUsable());
  }

  @Test
  void threeFailuresAmongSixRemove() {
    probe(true);
    for (int i = 0; i < 2; i++) {
      probe(false);
      probe(true);
    }
    assertTrue(health.isUsable());
    probe(false);
    assertFalse(health.isUsable());
  }

  @Test
  void thePauseDoublesWithEachRemovalUpToAMinute() {
    probe(true);
    long[] expectedS = {3, 6, 12, 24, 48, 60, 60};
    for (long seconds : expectedS) {
      probe(false);
      probe(false);
      long removedAtMs = sim.now() - 1000;
      while (!health.isUsable()) {
        probe(true);
      }
      long pauseMs = sim.now() - 1000 - removedAtMs;
      assertEquals(seconds * 1000, pauseMs);
    }
  }

  @Test
  void aProbeCountsOnce() {
    probe(true);
    BackendHealth.Probe probe = health.beginProbe();
    probe.fail();
    probe.fail();
    assertTrue(health.isUsable());
  }

  @Test
  void threeRefusedConnectionsInARowSkipForThreeSeconds() {
    probe(true);
    health.recordConnection(false);
    health.recordConnection(true);
    health.recordConnection(false);
    health.recordConnection(false);
    assertTrue(health.isUsable());
    health.recordConnection(false);
    assertFalse(health.isUsable());
    sim.runUntil(sim.now() + 3000);
    assertTrue(health.isUsable());
  }

  @Test
  void theShareRisesOverTenSeconds() {
    probe(true);
    assertEquals(0.1, health.share(), 1e-9);
    sim.runUntil(sim.now() + 4000);
    assertEquals(0.5, health.share(), 1e-9);
    sim.runUntil(sim.now() + 60_000);
    assertEquals(1, health.share(), 1e-9);
  }
}
