package shorecrank.coordination.request;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/** Tests the encoding of submissions. The state service accepts values of 8 kB. */
class JobChangeCodecTest {
  private static final int MAX_VALUE_BYTES = 8 * 1024;
  private static final int NAME_SPREAD = 1000;

  private final StepContext context = new StepContextBuilder().team("vision", 0, 0).build();
  private final JobChangeCodec codec = new JobChangeCodec(context);

  private static String randomName(int length) {
    return new SplittableRandom(1)
        .ints(length, '!', '~')
        .filter(character -> character != '"' && character != '\\')
        .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
        .toString();
  }

  /** Returns the size of the record with its first placement, in the form that is the shortest. */
  private static int placedBytes(JobSpec spec) {
    AttemptRange range =
        new AttemptRange(
            0, 1, new MachineName("n-000231"), new Incarnation(1), new AttemptNumber(1));
    JobRecord record =
        new JobRecord(
            spec,
            new Epoch(41),
            new WriterId("crankhost-0.1a2b3c"),
            123_456,
            new BitSet(),
            List.of(range),
            1,
            false,
            1_700_000_000_000L,
            0);
    return Math.min(Json.bytes(record.write()).length, Json.bytes(record.writeCompact()).length);
  }

  /**
   * Guards against accepted jobs that never run, because no record with a placement can be stored.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anAcceptedJobFitsIntoAValueWithItsFirstPlacement(boolean compressible) {
    int accepted = 0;
    for (int length = MAX_VALUE_BYTES - NAME_SPREAD; length < MAX_VALUE_BYTES; length += 7) {
      String name = compressible ? "x".repeat(length) : randomName(length);
      JobSpec spec = JobBuilder.job(1).image(name).spec();
      if (codec.encodeCreation(spec).isPresent()) {
        accepted++;
        int bytes = placedBytes(spec);
        assertTrue(bytes <= MAX_VALUE_BYTES, bytes + " bytes with a name of " + length);
      }
    }
    assertTrue(accepted > 0, "no job accepted");
  }
}
