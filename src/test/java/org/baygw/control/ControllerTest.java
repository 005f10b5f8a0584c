package org.baygw.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.baygw.control.config.Features;
import org.baygw.control.core.FailureCounters;
import org.baygw.control.core.Outbox;
import org.baygw.control.core.RestartReason;
import org.baygw.control.store.StateCache;
import org.junit.jupiter.api.Test;

/** A core whose inputs fail. */
public final class ControllerTest {
  private static final String PAGE =
      "{'ledgerRev':3,'more':false,'entries':["
          + "{'key':'b/layout','value':{'partitions_per_zone':1},'stamp':1},"
          + "{'key':'b/run/a.0','value':{'on':{'n-000001':'run-1:0'}},'stamp':3}]}";

  private final StateCache cache = new StateCache();
  private final FailureCounters failures = new FailureCounters();
  private final Controller core =
      new Controller(TestSettings.oneController(), Features.NONE, failures, cache);

  /** A core whose cache becomes inconsistent with its next change of the machine's tasks. */
  public static Controller failingCore(FailureCounters failures) {
    StateCache cache = new StateCache();
    breakMachine(cache);
    Controller core = new Controller(TestSettings.oneController(), Features.NONE, failures, cache);
    answerListing(core);
    return core;
  }

  private static void breakMachine(StateCache cache) {
    cache.machines.put("n-000001", new StateCache.Entry<>(null, 1));
  }

  /** Lets the core read all keys; returns the effects of the answer. */
  private static List<Outbox.Effect> answerListing(Controller core) {
    for (Outbox.Effect effect : core.tick(1, 1)) {
      if (effect instanceof Outbox.Call call && call.path().startsWith("/kv")) {
        byte[] page = PAGE.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return core.outcome(2, 2, call.callback(), 200, page);
      }
    }
    throw new IllegalStateException("the core does not read the keys");
  }

  /** Guards against decisions from a cache of which a change failed half-way. */
  @Test
  void coreWithInconsistentCacheActsNoMore() {
    breakMachine(cache);
    assertEquals(List.of(), answerListing(core));
    assertEquals(RestartReason.STATE_CACHE_INCONSISTENT, core.restartReason());
    assertEquals(List.of(), core.tick(60, 60));
    assertEquals(0, cache.stamp("b/run/a.0"), "a value that was not applied kept its stamp");
  }

  /** Guards against a caller that waits for ever since the handler of its request failed. */
  @Test
  void failedRequestIsAnswered() {
    answerListing(core);
    cache.types = null;
    String job =
        "{'id':'run-2','lane':'l','crew':'red','shape':'array','rank':'normal','chores':2,"
            + "'cores':1.0,'accelerators':0,'memoryGb':1,'bundle':'b','sizeGb':1,'builds':null,"
            + "'yard':null,'together':false,'spread':false,'loaners':true,'guessS':1,"
            + "'stashEveryS':0,'stashS':0,'dueS':null}";
    List<Outbox.Effect> effects =
        core.request(
            3, 3, 2, "POST", "/v1/jobs", job.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    assertTrue(
        effects.stream()
            .anyMatch(e -> e instanceof Outbox.Answer a && a.requestId() == 2 && a.status() == 500),
        effects.toString());
    assertEquals(1, failures.failedInputs());
    assertNull(core.restartReason());
  }
}
