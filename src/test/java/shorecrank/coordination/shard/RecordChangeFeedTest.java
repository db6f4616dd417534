package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Change;

/** Tests that each change of a record is passed on once, whichever request shows it first. */
class RecordChangeFeedTest {
  private static final int TIMEOUT_MS = 600;

  private final StepDriver driver = new StepDriver();
  private final List<Long> passedOn = new ArrayList<>();
  private final List<Boolean> reads = new ArrayList<>();
  private boolean isCompacted;
  private final RecordChangeFeed feed =
      new RecordChangeFeed(
          driver.context(),
          new RecordChangeFeed.Listener() {
            @Override
            public void onChange(Change change) {
              passedOn.add(change.revision().value());
            }

            @Override
            public void onCompacted() {
              isCompacted = true;
            }
          });

  @BeforeEach
  void start() {
    driver.after(1000, () -> feed.start(10, new MonotonicTime(900)));
  }

  private void read() {
    driver.now(() -> feed.read(TIMEOUT_MS, reads::add));
  }

  private static ObjectNode changes(long revision, long... changed) {
    ObjectNode answer = Json.object().put("ledgerRev", revision);
    ArrayNode news = answer.putArray("news");
    for (long each : changed) {
      news.addObject().put("drop", "j/wk-" + each).put("stamp", each);
    }
    return answer;
  }

  @Test
  void aReadPassesOnAllChangesBeforeItIsComplete() {
    read();
    assertEquals(List.of("/changes?prefix=j/&from=10&holdMs=0"), driver.openPaths());
    driver.answer(200, changes(14, 11, 13));
    assertEquals(List.of(11L, 13L), passedOn);
    assertEquals(List.of(true), reads);
    assertEquals(14, feed.revision());
    assertEquals(new MonotonicTime(1000), feed.shownUpTo());
  }

  @Test
  void aReadWithoutChangesIsComplete() {
    read();
    driver.answer(200, changes(10));
    assertEquals(List.of(true), reads);
  }

  @Test
  void aChangeThatAReadAndAWatchShowIsPassedOnOnce() {
    driver.now(feed::watchIfDue);
    read();
    driver.openCalls().add(driver.openCalls().remove(0));
    driver.answer(200, changes(12, 11, 12));
    driver.answer(200, changes(11, 11));
    assertEquals(List.of(11L, 12L), passedOn, "the answer to the watch came last");
    assertEquals(12, feed.revision());
    driver.after(249, feed::watchIfDue);
    assertEquals(List.of(), driver.openPaths(), "the watch was answered, so the next one pauses");
  }

  @Test
  void aReadThatIsRefusedOrNotAnsweredIsIncomplete() {
    for (int status : new int[] {429, 503, 0}) {
      read();
      driver.answer(status);
    }
    assertEquals(List.of(false, false, false), reads);
  }

  @Test
  void anAnswerOfALowerRevisionThanWasShownBeforeIsIncomplete() {
    read();
    driver.answer(200, changes(9));
    assertEquals(List.of(false), reads);
  }

  @Test
  void changesThatTheStateServiceHasDroppedRequireAListing() {
    read();
    driver.answer(410);
    assertEquals(List.of(false), reads);
    assertEquals(true, isCompacted);
  }

  @Test
  void anAnswerThatArrivesAfterTheFeedWasStoppedIsIgnored() {
    read();
    driver.now(feed::stop);
    driver.now(() -> feed.start(20, new MonotonicTime(1000)));
    driver.answer(200, changes(30, 25));
    assertEquals(List.of(false), reads);
    assertEquals(List.of(), passedOn);
    assertEquals(20, feed.revision());
  }

  @Test
  void nothingIsReadBeforeTheListing() {
    driver.now(feed::stop);
    read();
    assertEquals(List.of(false), reads);
    assertFalse(feed.isFollowing());
    assertEquals(List.of(), driver.openPaths());
  }

  @Test
  void aReadDoesNotDelayTheNextWatch() {
    read();
    driver.answer(200, changes(11));
    driver.now(feed::watchIfDue);
    assertEquals(List.of("/changes?prefix=j/&from=11&holdMs=2000"), driver.openPaths());
    driver.answer(200, changes(12, 12));
    driver.after(249, feed::watchIfDue);
    assertEquals(List.of(), driver.openPaths(), "the pause between watches");
    driver.after(1, feed::watchIfDue);
    assertEquals(List.of("/changes?prefix=j/&from=12&holdMs=2000"), driver.openPaths());
  }
}
