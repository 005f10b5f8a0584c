package org.baygw.control.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.baygw.control.Controller;
import org.baygw.control.ControllerTest;
import org.baygw.control.TestSettings;
import org.baygw.control.config.Features;
import org.baygw.control.core.FailureCounters;
import org.junit.jupiter.api.Test;

/** The event loop around a core that cannot go on. */
final class EventLoopTest {
  private static final Duration REPLACED_WITHIN = Duration.ofSeconds(10);

  private final AtomicInteger cores = new AtomicInteger();

  private Controller newCore(FailureCounters failures) {
    return cores.incrementAndGet() == 1
        ? ControllerTest.failingCore(failures)
        : new Controller(TestSettings.oneController(), Features.NONE, failures);
  }

  /** Guards against a process that goes on with a core whose cache cannot be relied on. */
  @Test
  void replacesFailedCoreOnce() throws InterruptedException {
    EventLoop eventLoop = new EventLoop(TestSettings.oneController(), this::newCore);
    eventLoop.start();
    try {
      assertTimeoutPreemptively(REPLACED_WITHIN, this::awaitSecondCore);
      Thread.sleep(300);
      assertEquals(2, cores.get());
    } finally {
      eventLoop.stop();
    }
  }

  private void awaitSecondCore() throws InterruptedException {
    while (cores.get() < 2) {
      Thread.sleep(10);
    }
  }
}
