package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that a malformed scenario line is refused before the run, with file, line and reason.
 */
class ScenarioSyntaxTest {
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          crash n0 3                                 | no line begins with 'crash'
          controllers                                | word 2 is missing in 'controllers'
          controllers three                          | 'three' is not a whole number
          until soon                                 | 'soon' is not a number
          workers heartbeat=often                    | 'often' is not a number, as heartbeat must be
          levels 0-x                                 | '0-x' is not a range of levels
          at 5 explode n0                            | no action is named 'explode'
          at 5 crash n0 long                         | 'long' is not a number
          at 5 crash the-leader                      | 'the-leader' names no controller
          at 5 hang machine-1 5                      | 'machine-1' names no machine
          at 5 cut n0 peers 5 bend                   | 'bend' is not one of [drop, hold, refuse]
          at 5 outage cloud                          | word 3 is missing in 'outage cloud'
          at 5 outage weather 5                      | an outage is of state or cloud
          at 5 late-writes 1 5 now                   | late writes are late or at-once
          at 5 write-key leader {                    | the value is no JSON
          at 5 submit wk-1 depends-on=wk-a..b        | 'wk-a..b' is not a job or range of jobs
          at 5 rollout-order n0 o1 promote           | 'promote' is not one of [finalize, downgrade, abort, archive]
          at 5 share-order n0 o1 give to=1           | an order of shares is one of set, move, abort
          at 5 share-order n0 o1 move from=0         | option to is missing
          at 5 expect happiness                      | no expectation is named 'happiness'
          at 5 expect starts-below                   | word 2 is missing in 'starts-below'
          at 5 expect rollout-order o1 maybe         | an order is accepted or refused
          on elected crash n0                        | ' : ' is missing after the text
          on elected : explode                       | no action is named 'explode'
          random-faults many 5 10                    | 'many' is not a whole number
          """)
  void malformedLineIsRefusedWithFileLineAndReason(String line, String reason) {
    ScenarioSyntaxException refusal = refusalOf("# a comment\n\n  " + line + "\nuntil 10\n");
    assertEquals("bad, line 3: " + reason, refusal.getMessage());
  }

  @Test
  void unknownOptionIsRefusedWithKnownOptions() {
    ScenarioSyntaxException refusal = refusalOf("type p8 cpus=8 cores=8");
    assertEquals(
        "bad, line 1: unknown options [cores], known are [cpus, memory, boot, zones]",
        refusal.getMessage());
  }

  private static ScenarioSyntaxException refusalOf(String text) {
    return assertThrows(ScenarioSyntaxException.class, () -> new Scenario("bad", text));
  }
}
