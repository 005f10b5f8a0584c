package org.baygw.control.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baygw.control.Constants;
import org.baygw.control.model.TaskId;
import org.junit.jupiter.api.Test;

final class WorkerSessionTest {
  private static final long CLAIM = 3822;
  private static final TaskId TASK = new TaskId("run-1", 13);
  private static final TaskId OTHER_TASK = new TaskId("run-1", 14);

  private final WorkerSession worker = new WorkerSession("n-000042", CLAIM, 0);

  private List<WorkerCodec.Order> fenced(WorkerCodec.Order... orders) {
    List<WorkerCodec.Order> fenced = new ArrayList<>(List.of(orders));
    worker.fenceForgottenLaunches(fenced);
    return fenced;
  }

  @Test
  void forgettingDirectLaunchRaisesTokenAboveThatOfLaunch() {
    worker.directLaunchSent(TASK);
    long launchToken = worker.token();
    WorkerCodec.Order forget = WorkerCodec.Order.forget(TASK, 2);
    assertEquals(List.of(forget), fenced(forget));
    assertTrue(worker.token() > launchToken);
    assertEquals(CLAIM, worker.token() >> Constants.TOKEN_BITS);
  }

  @Test
  void tokenIsNotRaisedForLaunchesThatItRefusesAlready() {
    worker.directLaunchSent(TASK);
    worker.raiseToken();
    worker.directLaunchSent(OTHER_TASK);
    long token = worker.token();
    fenced(WorkerCodec.Order.forget(TASK, 2), WorkerCodec.Order.kill(OTHER_TASK, 1, 0, null));
    assertEquals(token, worker.token());
  }

  @Test
  void callInFlightIsNotRefusedBecauseOfForgottenAttempt() {
    worker.directLaunchSent(TASK);
    worker.directCallInFlight = true;
    long token = worker.token();
    WorkerCodec.Order kill = WorkerCodec.Order.kill(OTHER_TASK, 1, 10, null);
    assertEquals(List.of(kill), fenced(WorkerCodec.Order.forget(TASK, 2), kill));
    assertEquals(token, worker.token());
  }

  @Test
  void raisedTokenNeverReachesThatOfNextClaim() {
    for (int i = 0; i <= WorkerSession.MAX_TOKEN_INCREMENTS; i++) {
      worker.raiseToken();
    }
    assertFalse(worker.canRaiseToken());
    assertEquals(CLAIM, worker.token() >> Constants.TOKEN_BITS);
  }
}
