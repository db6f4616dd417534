package shorecrank.coordination.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.protocol.Json;

/** Tests why submissions are refused that can never be accepted. */
class SubmissionRulesTest {
  /** Largest size, in bytes, of a line of an answer to a user. */
  private static final int MAX_LINE_BYTES = 64 * 1024;

  private final SubmissionRules rules =
      new SubmissionRules(new StepContextBuilder().team("vision", 0, 0).build());

  private String reason(String team) {
    return rules.findRejectionReason(JobBuilder.job(1).ofTeam(team).spec()).orElseThrow();
  }

  @Test
  void anUnknownTeamIsNamed() {
    assertEquals("unknown team visoin", reason("visoin"));
  }

  /** Guards against answers to users with lines above 64 KiB. */
  @Test
  void aLongNameOfAnUnknownTeamFitsIntoTheAnswer() {
    // Each of these characters takes four bytes in a submission and twelve in an answer.
    String team = "\uD83C\uDFBB".repeat(16_000);
    int bytes = Json.bytes(Json.error(reason(team))).length;
    assertTrue(bytes <= MAX_LINE_BYTES, "answer of " + bytes + " bytes");
  }
}
