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
  private static double exhaustive(List<Host> hosts, List<Item> items, int k, boolean relaxed) {
    return tryAll(hosts, items, k, relaxed, new int[items.size()], 0);
  }

  private static double tryAll(
      List<Host> hosts, List<Item> items, int k, boolean relaxed, int[] at, int v) {
    if (v == items.size()) {
      return cost(hosts, items, k, relaxed, at);
    }
    double best = Double.POSITIVE_INFINITY;
    for (int p = items.get(v).currentHost() < 0 ? -1 : 0; p < hosts.size(); p++) {
      if (p < 0 || relaxed || items.get(v).allowed()[p]) {
        at[v] = p;
        best = Math.min(best, tryAll(hosts, items, k, relaxed, at, v + 1));
      }
    }
    return best;
  }

  private static double cost(List<Host> hosts, List<Item> items, int k, boolean relaxed, int[] at) {
    double[][] free = new double[hosts.size()][];
    boolean[] on = new boolean[hosts.size()];
    for (int p = 0; p < free.length; p++) {
      free[p] = hosts.get(p).free().clone();
      on[p] = hosts.get(p).occupied();
    }
    int moves = 0;
    double cost = 0;
    for (int v = 0; v < at.length; v++) {
      Item i = items.get(v);
      if (at[v] < 0) {
        cost += relaxed ? 0 : 2 * ALPHA;
        continue;
      }
      on[at[v]] = true;
      moves += i.currentHost() >= 0 && i.currentHost() != at[v] ? 1 : 0;
      for (int d = 0; d < i.load().length; d++) {
        free[at[v]][d] -= i.load()[d];
        if (!relaxed && free[at[v]][d] < -1e-6) {
          return Double.POSITIVE_INFINITY;
        }
      }
      for (int w = 0; w < v; w++) {
        if (!relaxed
            && at[w] == at[v]
            && i.group() != null
            && i.group().equals(items.get(w).group())) {
          return Double.POSITIVE_INFINITY;
        }
      }
    }
    if (moves > k) {
      return Double.POSITIVE_INFINITY;
    }
    for (boolean b : on) {
      cost += b ? ALPHA : 0;
    }
    return cost + MU * moves;
  }

  /** Adds a random case whose current placement satisfies the constraints. */
  private static void fill(Random r, List<Host> hosts, List<Item> items, int m, int n) {
    double[][] room = new double[m][];
    for (int p = 0; p < m; p++) {
      boolean occupied = r.nextInt(4) == 0;
      room[p] = new double[] {occupied ? 4 : 8, occupied ? 5 : 9};
      hosts.add(new Host(room[p].clone(), occupied));
    }
    for (int v = 0; v < n; v++) {
      double[] load = {1 + r.nextInt(4), 1 + r.nextInt(4)};
      String group = r.nextInt(3) == 0 ? "g" : null;
      int current = r.nextInt(m + 1) - 1;
      if (current >= 0) {
        boolean taken = room[current][0] < load[0] || room[current][1] < load[1];
        for (Item i : items) {
          taken |= i.currentHost() == current && group != null && group.equals(i.group());
        }
        if (taken) {
          current = -1;
        } else {
          room[current][0] -= load[0];
          room[current][1] -= load[1];
        }
      }
      boolean[] allowed = new boolean[m];
      for (int p = 0; p < m; p++) {
        allowed[p] = p == current || r.nextInt(5) > 0;
      }
      items.add(new Item(load, current, group, allowed));
    }
  }

  @Test
  void findsTheOptimumOfSmallCases() {
    Random r = new Random(11);
    int better = 0;
    for (int round = 0; round < 300; round++) {
      List<Host> hosts = new ArrayList<>();
      List<Item> items = new ArrayList<>();
      fill(r, hosts, items, 2 + r.nextInt(3), 1 + r.nextInt(5));
      int k = r.nextInt(4);
      BranchAndBound b = new BranchAndBound(hosts, items, ALPHA, MU, k);
      double optimum = exhaustive(hosts, items, k, false);
      assertTrue(
          b.lowerBound() <= exhaustive(hosts, items, k, true) + 1e-6,
          "the bound is above the relaxed optimum in round " + round);
      assertTrue(b.step(1_000_000));
      assertEquals(optimum, b.bestCost(), 1e-6, "round " + round);
      assertEquals(
          optimum,
          cost(hosts, items, k, false, b.bestPlacement()),
          1e-6,
          "cost of the best placement");
      better += b.improved() ? 1 : 0;
    }
    assertTrue(better > 100, "only " + better + " cases improved on the initial placement");
  }

  @Test
  void theBoundIsExactWhereOnlyEmptyingHelps() {
    // Machines with one, one, two and three tasks; of three moves, two empty the first two
    // machines.
    List<Host> hosts = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    int[] counts = {1, 1, 2, 3};
    boolean[] all = {true, true, true, true};
    for (int p = 0; p < counts.length; p++) {
      hosts.add(new Host(new double[] {100}, false));
      for (int i = 0; i < counts[p]; i++) {
        items.add(new Item(new double[] {1}, p, null, all));
      }
    }
    BranchAndBound b = new BranchAndBound(hosts, items, ALPHA, MU, 3);
    assertEquals(4 * ALPHA - 2 * (ALPHA - MU), b.lowerBound(), 1e-9);
    assertTrue(b.step(10_000_000));
    assertEquals(b.bestCost(), 4 * ALPHA - 2 * (ALPHA - MU), 1e-9);
  }

  @Test
  void machinesWithAlphaOverMuTasksAreNotEmptied() {
    List<Host> hosts =
        List.of(new Host(new double[] {100}, false), new Host(new double[] {100}, true));
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      items.add(new Item(new double[] {1}, 0, null, new boolean[] {true, true}));
    }
    BranchAndBound b = new BranchAndBound(hosts, items, ALPHA, MU, 100);
    assertEquals(2 * ALPHA, b.lowerBound(), 1e-9);
    assertTrue(b.step(100));
    assertFalse(b.improved());
  }

  @Test
  void stopsWithTheBestSoFar() {
    Random r = new Random(3);
    List<Host> hosts = new ArrayList<>();
    List<Item> items = new ArrayList<>();
    fill(r, hosts, items, 20, 60);
    BranchAndBound b = new BranchAndBound(hosts, items, ALPHA, MU, 2);
    double before = b.bestCost();
    assertFalse(b.step(500));
    assertEquals(500, b.nodes());
    assertTrue(b.bestCost() <= before);
    assertTrue(
        Double.isFinite(cost(hosts, items, 2, false, b.bestPlacement())),
        "the best placement violates a constraint");
  }

  @Test
  void unplacedTasksStayWhereNothingFits() {
    List<Host> hosts = List.of(new Host(new double[] {1}, true));
    boolean[] all = {true};
    List<Item> items =
        List.of(
            new Item(new double[] {2}, -1, null, all), new Item(new double[] {1}, -1, null, all));
    BranchAndBound b = new BranchAndBound(hosts, items, ALPHA, MU, 0);
    assertTrue(b.step(100));
    assertTrue(Arrays.equals(new int[] {-1, 0}, b.bestPlacement()));
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
