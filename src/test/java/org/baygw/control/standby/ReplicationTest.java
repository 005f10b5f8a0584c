package org.baygw.control.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.roaringbitmap.RoaringBitmap;

/** Replicates a log to a standby, also over a link that loses, repeats and delays messages. */
final class ReplicationTest {
  private static final Role ROLE = new Role("a.0");
  private static final int UNLIMITED_BYTES = Integer.MAX_VALUE;

  private final Replica.Counters counters = new Replica.Counters();

  private static DecisionLog log(long epoch, RoleState base) {
    return new DecisionLog(ROLE, epoch, base, 64);
  }

  private Replica replica() {
    return new Replica(ROLE, counters, 0);
  }

  /** Exchanges messages without faults until the standby has applied all decisions. */
  private static void catchUp(ReplicationStream stream, Replica replica) {
    for (int i = 0; i < 1_000 && !stream.upToDate(); i++) {
      stream.acknowledge(replica.receive(stream.nextUpdate(400), i));
    }
    assertTrue(stream.upToDate());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void convergesDespiteLossRepetitionAndDelay(long seed) {
    Random random = new Random(seed);
    RandomDecisions decisions = new RandomDecisions(seed);
    DecisionLog log = log(7, RoleState.EMPTY);
    ReplicationStream stream = new ReplicationStream(log, "yurt-1");
    Replica replica = replica();
    List<RoleUpdate> delayed = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      for (int i = random.nextInt(12); i > 0; i--) {
        log.append(decisions.next());
      }
      RoleUpdate update = stream.nextUpdate(100 + random.nextInt(2_000));
      if (random.nextInt(4) == 0) {
        delayed.add(update);
      }
      if (random.nextInt(5) > 0) {
        RoleAck ack = replica.receive(update, step);
        if (random.nextInt(5) > 0) {
          stream.acknowledge(ack);
        }
      }
      if (!delayed.isEmpty() && random.nextInt(3) == 0) {
        replica.receive(delayed.remove(random.nextInt(delayed.size())), step);
      }
      assertTrue(log.tailSize() <= 64);
    }
    catchUp(stream, replica);
    // Failures are counted, so a decision applied twice would change the state.
    assertEquals(log.state(), replica.state());
    assertEquals(log.lastSequence(), replica.applied());
    assertTrue(counters.snapshots > 0 && counters.repeated > 0, "the link had too few faults");
  }

  @Test
  void dropsUpdatesOfOlderEpochs() {
    DecisionLog old = log(5, RoleState.EMPTY);
    old.append(new Decision.MachineSick("n-1"));
    RoleUpdate late = new ReplicationStream(old, "yurt-1").nextUpdate(UNLIMITED_BYTES);
    Replica replica = replica();
    ReplicationStream stream = new ReplicationStream(log(9, RoleState.EMPTY), "yurt-1");
    catchUp(stream, replica);
    RoleAck ack = replica.receive(late, 1);
    assertEquals(9, ack.epoch());
    assertEquals(RoleState.EMPTY, replica.state());
    assertEquals(1, counters.outdated);
  }

  @Test
  void keepsFormerStateUntilSnapshotOfNewEpoch() {
    DecisionLog first = log(5, RoleState.EMPTY);
    first.append(new Decision.MachineSick("n-1"));
    Replica replica = replica();
    catchUp(new ReplicationStream(first, "yurt-1"), replica);
    DecisionLog second = log(6, RoleState.EMPTY);
    second.append(new Decision.MachineSick("n-2"));
    RoleAck ack = replica.receive(new RoleUpdate.LogUpdate(ROLE, 6, 1, List.of()), 1);
    assertEquals(RoleAck.NEEDS_SNAPSHOT, ack.applied());
    assertEquals(first.state(), replica.state());
    catchUp(new ReplicationStream(second, "yurt-1"), replica);
    assertEquals(second.state(), replica.state());
  }

  @Test
  void appliesNothingAfterGap() {
    DecisionLog log = log(5, RoleState.EMPTY);
    Replica replica = replica();
    catchUp(new ReplicationStream(log, "yurt-1"), replica);
    List<Decision> later = List.of(new Decision.MachineSick("n-3"));
    RoleAck ack = replica.receive(new RoleUpdate.LogUpdate(ROLE, 5, 3, later), 1);
    assertEquals(0, ack.applied());
    assertEquals(RoleState.EMPTY, replica.state());
    assertEquals(1, counters.gaps);
  }

  @Test
  void restartedStandbyGetsSnapshotAgain() {
    DecisionLog log = log(5, RoleState.EMPTY);
    RandomDecisions decisions = new RandomDecisions(3);
    for (int i = 0; i < 500; i++) {
      log.append(decisions.next());
    }
    ReplicationStream stream = new ReplicationStream(log, "yurt-1");
    Replica before = replica();
    for (int i = 0; i < 3; i++) {
      stream.acknowledge(before.receive(stream.nextUpdate(300), i));
    }
    assertFalse(stream.upToDate());
    Replica after = replica();
    catchUp(stream, after);
    assertEquals(log.state(), after.state());
  }

  @Test
  void repeatedReleaseCountsForItsEpochOnly() {
    Replica replica = replica();
    RoleUpdate.Release release = new RoleUpdate.Release(ROLE, 5, 12);
    replica.receive(release, 1);
    replica.receive(release, 2);
    assertTrue(replica.released(5));
    assertFalse(replica.released(4));
    replica.receive(new RoleUpdate.LogUpdate(ROLE, 8, 1, List.of()), 3);
    replica.receive(release, 4);
    assertFalse(replica.released(8));
    assertFalse(replica.released(0));
  }

  /** Bounds bytes and memory for the largest fleets: 4,000 machines with 16 tasks each. */
  @Test
  void logAndSnapshotOfFourThousandMachinesAreBounded() {
    DecisionLog log = new DecisionLog(ROLE, 5, RoleState.EMPTY, 4_096);
    for (int machine = 0; machine < 4_000; machine++) {
      String name = String.format("n-%06d", machine);
      log.append(new Decision.SessionKnown(name, name + ":9000", 1));
      RoaringBitmap tasks = new RoaringBitmap();
      tasks.add(16L * machine, 16L * (machine + 1));
      log.append(new Decision.TasksLaunched(name, "run-000001", tasks, machine));
    }
    assertEquals(4_096, log.tailSize());
    ReplicationStream stream = new ReplicationStream(log, "yurt-1");
    Replica replica = replica();
    long bytes = 0;
    int messages = 0;
    while (!stream.upToDate()) {
      RoleUpdate update = stream.nextUpdate(40 * 1024);
      byte[] body = ReplicationCodec.encode(new ReplicationMessage("yurt-0", List.of(update)));
      assertTrue(body.length <= 64 * 1024, "a message of " + body.length + " bytes");
      bytes += body.length;
      messages++;
      stream.acknowledge(replica.receive(update, messages));
    }
    assertEquals(log.state(), replica.state());
    assertTrue(bytes < 450_000, bytes + " bytes for a snapshot");
    assertTrue(messages < 25, messages + " messages for a snapshot");
  }
}
