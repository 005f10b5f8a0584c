package org.baygw.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.baygw.control.Constants;
import org.baygw.control.TestSettings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.ErrorBoundary;
import org.baygw.control.core.FailureCounters;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.model.Partition;
import org.baygw.control.model.TaskId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Conditional writes that are rejected, and readings of the state. */
final class StoreTest {
  private static final String KEY = "b/prog/run-1/0";

  private final Clock clock = new Clock();
  private final Outbox out = new Outbox();
  private final List<Boolean> outcomes = new ArrayList<>();
  private final StateCache cache = new StateCache();
  private final FailureCounters failures = new FailureCounters();
  private Store store;
  private int sentWrites;

  @BeforeEach
  void start() {
    store =
        new Store(
            clock, out, TestSettings.oneController(), cache, new ErrorBoundary(clock, failures));
  }

  /**
   * Advances the time, and answers writes with the status and other requests with an empty copy.
   */
  private void runFor(long ms, int writeStatus) {
    long end = clock.now() + ms;
    while (clock.now() < end) {
      clock.set(clock.now() + Constants.TICK_MS, 0);
      store.tick();
      for (Outbox.Effect effect : out.drain()) {
        Outbox.Call call = (Outbox.Call) effect;
        boolean write = call.path().equals("/txn");
        sentWrites += write ? 1 : 0;
        int status = write ? writeStatus : 200;
        String body = "{\"ledgerRev\":1,\"entries\":[],\"events\":[],\"more\":false}";
        call.callback().done(status, body.getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  private void write() {
    store.txnWithRetry(
        Store.Urgency.GRANT,
        new Txn().put(KEY, Json.object()),
        Constants.STATE_TIMEOUT_MS,
        ok -> {
          outcomes.add(ok);
          if (outcomes.size() < 100) {
            write();
          }
        });
  }

  /** Guards against a sender that repeats a rejected write many times a second without end. */
  @Test
  void rejectedWriteIsRepeatedOnlyAfterADelay() {
    write();
    runFor(10 * Constants.REJECTED_WRITE_DELAY_MS, 400);
    assertTrue(sentWrites >= 5 && sentWrites <= 11, sentWrites + " writes");
    assertEquals(sentWrites, store.rejectedWriteCount());
    assertTrue(outcomes.stream().noneMatch(ok -> ok), "a rejected write counted as successful");
  }

  /** A write whose first attempt got no answer is given up too once it is rejected. */
  @Test
  void rejectionEndsTheRetriesOfAnUnansweredWrite() {
    write();
    runFor(Constants.TICK_MS, Outbox.NO_ANSWER);
    assertEquals(1, sentWrites);
    runFor(2 * Constants.REJECTED_WRITE_DELAY_MS, 400);
    assertTrue(!outcomes.isEmpty(), "the sender was not told");
    assertTrue(sentWrites <= 4, sentWrites + " writes");
  }

  /** Guards against a store that reads nothing any more after a caller's callback has failed. */
  @Test
  void failedCallbackLeavesNoFlagSet() {
    List<Boolean> told = new ArrayList<>();
    runFor(Constants.TICK_MS, 200);
    for (int i = 0; i < 2; i++) {
      store.whenCurrent(
          ok -> {
            throw new IllegalStateException("a callback that fails");
          });
      store.whenCurrent(told::add);
      runFor(10 * Constants.WATCH_INTERVAL_MIN_MS, 200);
    }
    assertEquals(List.of(true, true), told);
    assertEquals(2, failures.failedInputs());
  }

  /** Ticks until the store reads from the state service, and returns the request. */
  private Outbox.Call nextRead() {
    for (int i = 0; i < 100; i++) {
      clock.set(clock.now() + Constants.TICK_MS, 0);
      store.tick();
      for (Outbox.Effect effect : out.drain()) {
        return (Outbox.Call) effect;
      }
    }
    throw new IllegalStateException("the store reads nothing");
  }

  private static void answer(Outbox.Call read, int status, String body) {
    read.callback().done(status, body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against decisions from a listing of which only some pages have arrived. */
  @Test
  void listingIsAppliedAsAWhole() {
    Partition partition = new Partition("a", 0);
    TaskId task = new TaskId("run-1", 0);
    answer(nextRead(), 200, "{'ledgerRev':1,'entries':[],'more':false}");
    answer(nextRead(), 410, "{}");
    String grant = "{'key':'b/prog/run-1/0','value':{'live':[[0,1,'a.0']]},'stamp':5}";
    answer(nextRead(), 200, "{'ledgerRev':5,'entries':[" + grant + "],'more':true}");
    assertEquals(
        Set.of(), cache.unplaced(partition), "the page with the task's machine is missing");

    String value = "'value':{'on':{'n-000001':'run-1:0'}},'stamp':6}";
    String page = "{'key':'b/run/a.0'," + value;
    answer(nextRead(), 200, "{'ledgerRev':7,'entries':[" + page + "],'more':false}");
    assertEquals(0, cache.stamp("b/run/a.0"), "changes between the pages are missing");

    Outbox.Call missedChanges = nextRead();
    assertTrue(missedChanges.path().contains("after=5&"), missedChanges.path());
    answer(missedChanges, 200, "{'ledgerRev':8,'events':[{'write':'b/run/a.0'," + value + "]}");
    assertEquals(Set.of(), cache.unplaced(partition));
    assertEquals(Set.of("n-000001"), cache.machinesWith(task));
    assertEquals(8, cache.revision());
  }
}
