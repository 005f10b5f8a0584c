package org.baygw.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Plays many random scenarios, two for each seed: with warm standby, and with repeated requests.
 * Not part of the build: {@code mvn test -Dtest=ManyRandomDays [-DargLine="-Dfirst=1 -Ddays=200"]}.
 */
final class ManyRandomDays {
  private static final long FIRST = Long.getLong("first", 1);
  private static final long DAYS = Long.getLong("days", 100);

  @Test
  void keepTheRules() {
    List<String> failed = new ArrayList<>();
    LongStream.range(FIRST, FIRST + DAYS)
        .parallel()
        .forEach(
            seed -> {
              List<String> found = new ArrayList<>();
              found.addAll(Scenario.play(RandomFaultTest.faultsWithStandby(seed)));
              found.addAll(Scenario.play(RandomFaultTest.repeatedRequests(seed)));
              if (!found.isEmpty()) {
                synchronized (failed) {
                  failed.add("seed " + seed + ": " + found);
                }
              }
            });
    Assertions.assertEquals(List.of(), failed);
  }
}
