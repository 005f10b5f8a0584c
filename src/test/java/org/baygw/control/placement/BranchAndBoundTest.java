package org.baygw.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.baygw.control.placement.BranchAndBound.Host;
import org.baygw.control.placement.BranchAndBound.Item;
import org.junit.jupiter.api.Test;

final class BranchAndBoundTest {
  private static final double ALPHA = 10;
  private static final double MU = 1;

  /**
   * Lowest cost over all placements. If relaxed, capacity, rules and the cost of unplaced tasks do
   * not count.
   */
  private static double exhaustive(
      List<Host> hosts, List<Item> items, int maxMoves, boolean relaxed) {
    return tryAll(hosts, items, maxMoves, relaxed, new int[items.size()], 0);
  }

  private static double tryAll(
      List<Host> hosts,
      List<Item> items,
      int maxMoves,
      boolean relaxed,
      int[] placement,
      int item) {
    if (item == items.size()) {
      return cost(hosts, items, maxMoves, relaxed, placement);
    }
    double best = Double.POSITIVE_INFINITY;
    for (int host = items.get(item).currentHost() < 0 ? -1 : 0; host < hosts.size(); host++) {
      if (host < 0 || relaxed || items.get(item).allowed()[host]) {
        placement[item] = host;
        best = Math.min(best, tryAll(hosts, items, maxMoves, relaxed, placement, item + 1));
      }
    }
    return best;
  }

  private static double cost(
      List<Host> hosts, List<Item> items, int maxMoves, boolean relaxed, int[] placement) {
    double[][] free = new double[hosts.size()][];
    boolean[] used = new boolean[hosts.size()];
    for (int host = 0; host < free.length; host++) {
      free[host] = hosts.get(host).free().clone();
      used[host] = hosts.get(host).occupied();
    }
    int moves = 0;
    double cost = 0;
    for (int item = 0; item < placement.length; item++) {
      Item task = items.get(item);
      if (placement[item] < 0) {
        cost += relaxed ? 0 : 2 * ALPHA;
        continue;
      }
      used[placement[item]] = true;
      moves += task.currentHost() >= 0 && task.currentHost() != placement[item] ? 1 : 0;
      for (int resource = 0; resource < task.load().length; resource++) {
        free[placement[item]][resource] -= task.load()[resource];
        if (!relaxed && free[placement[item]][resource] < -1e-6) {
          return Double.POSITIVE_INFINITY;
        }
      }
      for (int other = 0; other < item; other++) {
        if (!relaxed
            && placement[other] == placement[item]
            && task.group() != null
            && task.group().equals(items.get(other).group())) {
          return Double.POSITIVE_INFINITY;
        }
      }
    }
    if (moves > maxMoves) {
      return Double.POSITIVE_INFINITY;
    }
    for (boolean hostUsed : used) {
      cost += hostUsed ? ALPHA : 0;
    }
    return cost + MU * moves;
  }

  /** Adds a random case whose current placement satisfies the constraints. */
  private static void addRandomCase(
      Random random, List<Host> hosts, List<Item> items, int hostCount, int itemCount) {
    double[][] free = new double[hostCount][];
    for (int host = 0; host < hostCount; host++) {
      boolean occupied = random.nextInt(4) == 0;
      free[host] = new double[] {occupied ? 4 : 8, occupied ? 5 : 9};
      hosts.add(new Host(free[host].clone(), occupied));
    }
    for (int item = 0; item < itemCount; item++) {
      double[] load = {1 + random.nextInt(4), 1 + random.nextInt(4)};
      String group = random.nextInt(3) == 0 ? "g" : null;
      int current = random.nextInt(hostCount + 1) - 1;
      if (current >= 0) {
        boolean taken = free[current][0] < load[0] || free[current][1] < load[1];
        for (Item task : items) {
          taken |= task.currentHost() == current && group != null && group.equals(task.group());
        }
        if (taken) {
          current = -1;
        } else {
          free[current][0] -= load[0];
          free[current][1] -= load[1];
        }
      }
      boolean[] allowed = new boolean[hostCount];
      for (int host = 0; host < hostCount; host++) {
        allowed[host] = host == current || random.nextInt(5) > 0;
      }
      items.add(new Item(load, current, group, allowed));
    }
  }

  @Test
  void findsTheOptimumOfSmallCases() {
    Random random = new Random(11);
    int better = 0;
    for (int round = 0; round < 300; round++) {
      List<Host> hosts = new ArrayList<>();
      List<Item> items = new ArrayList<>();
      addRandomCase(random, hosts, items, 2 + random.nextInt(3), 1 + random.nextInt(5));
      int maxMoves = random.nextInt(4);
      BranchAndBound search = new BranchAndBound(hosts, items, ALPHA, MU, maxMoves);
      double optimum = exhaustive(hosts, items, maxMoves, false);
      assertTrue(
          search.lowerBound() <= exhaustive(hosts, items, maxMoves, true) + 1e-6,
          "the bound is above the relaxed optimum in round " + round);
      assertTrue(search.step(1_000_000));
      assertEquals(optimum, search.bestCost(), 1e-6, "round " + round);
      assertEquals(
          optimum,
          cost(hosts, items, maxMoves, false, search.bestPlacement()),
          1e-6,
          "cost of the best placement");
      better += search.improved() ? 1 : 0;
    }
    assertTrue(better > 100, "only " + better + " cases improved on the initial placement");
  }

  @Test
  void theBoundIsExactWhereOnlyEmptyingHelps() {
    // Machines with 1, 1, 2 and 3 tasks; three moves suffice to empty only the first two.
    List<Host> hosts = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    int[] counts = {1, 1, 2, 3};
    boolean[] all = {true, true, true, true};
    for (int host = 0; host < counts.length; host++) {
      hosts.add(new Host(new double[] {100}, false));
      for (int i = 0; i < counts[host]; i++) {
        items.add(new Item(new double[] {1}, host, null, all));
      }
    }
    BranchAndBound search = new BranchAndBound(hosts, items, ALPHA, MU, 3);
    assertEquals(4 * ALPHA - 2 * (ALPHA - MU), search.lowerBound(), 1e-9);
    assertTrue(search.step(10_000_000));
    assertEquals(search.bestCost(), 4 * ALPHA - 2 * (ALPHA - MU), 1e-9);
  }

  @Test
  void machinesWithAlphaOverMuTasksAreNotEmptied() {
    List<Host> hosts =
        List.of(new Host(new double[] {100}, false), new Host(new double[] {100}, true));
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      items.add(new Item(new double[] {1}, 0, null, new boolean[] {true, true}));
    }
    BranchAndBound search = new BranchAndBound(hosts, items, ALPHA, MU, 100);
    assertEquals(2 * ALPHA, search.lowerBound(), 1e-9);
    assertTrue(search.step(100));
    assertFalse(search.improved());
  }

  @Test
  void stopsWithTheBestSoFar() {
    Random random = new Random(3);
    List<Host> hosts = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    addRandomCase(random, hosts, items, 20, 60);
    BranchAndBound search = new BranchAndBound(hosts, items, ALPHA, MU, 2);
    double before = search.bestCost();
    assertFalse(search.step(500));
    assertEquals(500, search.nodes());
    assertTrue(search.bestCost() <= before);
    assertTrue(
        Double.isFinite(cost(hosts, items, 2, false, search.bestPlacement())),
        "the best placement violates a constraint");
  }

  @Test
  void unplacedTasksStayWhereNothingFits() {
    List<Host> hosts = List.of(new Host(new double[] {1}, true));
    boolean[] all = {true};
    List<Item> items =
        List.of(
            new Item(new double[] {2}, -1, null, all), new Item(new double[] {1}, -1, null, all));
    BranchAndBound search = new BranchAndBound(hosts, items, ALPHA, MU, 0);
    assertTrue(search.step(100));
    assertTrue(Arrays.equals(new int[] {-1, 0}, search.bestPlacement()));
  }

  @Test
  void weightsMustBeAboveZero() {
    assertThrows(
        IllegalArgumentException.class, () -> new BranchAndBound(List.of(), List.of(), 0, MU, 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new BranchAndBound(List.of(), List.of(), ALPHA, 0, 1));
  }
}
