package org.baygw.control.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.baygw.control.Constants;

/**
 * Branch-and-bound search for the placement of tasks that minimizes alpha times the number of
 * active machines plus mu times the number of moves, with a limit on moves. After Bartók and Mann
 * (2015), section V; see docs/DESIGN.md. Runs in steps, so that the controller can handle other
 * events in between, and always holds the best placement found so far.
 */
public final class BranchAndBound {
  /** A machine: the resources left free by tasks that stay, and whether there are such tasks. */
  public record Host(double[] free, boolean occupied) {}

  /**
   * A task to place.
   *
   * @param current index of its machine, or -1 if it is on none
   * @param group tasks of the same group may not share a machine; null if there is no such rule
   * @param allowed whether each machine is allowed for the task; its current one always is
   */
  public record Item(double[] load, int currentHost, String group, boolean[] allowed) {}

  private static final int UNPLACED = -1;
  private static final int OPEN = -2;

  private final List<Host> hosts;
  private final List<Item> items;
  private final double alpha;
  private final double mu;
  private final int maxMoves;
  private final double[] scale;

  // The current partial placement.
  private final double[][] free;
  private final int[] at;
  private final int[] held;
  private final int[] waiting;
  private int active;
  private int moves;
  private int skipped;

  // The path from the root: the item at each level, its candidate machines and the next to try.
  private final int[] pathItem;
  private final int[][] pathChildren;
  private final int[] pathNext;
  private int depth;
  private boolean entered;
  private boolean exhausted;
  private long nodes;

  private final int[] bestPlacement;
  private double bestCost;
  private boolean improved;

  public BranchAndBound(List<Host> hosts, List<Item> items, double alpha, double mu, int maxMoves) {
    if (!(alpha > 0) || !(mu > 0)) {
      throw new IllegalArgumentException("alpha and mu must be above zero");
    }
    this.hosts = hosts;
    this.items = items;
    this.alpha = alpha;
    this.mu = mu;
    this.maxMoves = maxMoves;
    int n = items.size();
    int m = hosts.size();
    int d = m == 0 ? 0 : hosts.get(0).free().length;
    free = new double[m][];
    held = new int[m];
    waiting = new int[m];
    scale = new double[d];
    for (int p = 0; p < m; p++) {
      free[p] = hosts.get(p).free().clone();
      active += hosts.get(p).occupied() ? 1 : 0;
      for (int k = 0; k < d; k++) {
        scale[k] = Math.max(scale[k], free[p][k]);
      }
    }
    at = new int[n];
    Arrays.fill(at, OPEN);
    bestPlacement = new int[n];
    for (int v = 0; v < n; v++) {
      int c = items.get(v).currentHost();
      bestPlacement[v] = c;
      if (c >= 0) {
        waiting[c]++;
      }
    }
    // Leaving all tasks where they are is always a valid placement.
    bestCost = costOf(bestPlacement);
    pathItem = new int[n + 1];
    pathChildren = new int[n + 1][];
    pathNext = new int[n + 1];
  }

  /** Cost of a complete placement; an unplaced task costs as much as two machines. */
  private double costOf(int[] placement) {
    boolean[] on = new boolean[hosts.size()];
    double cost = 0;
    for (int p = 0; p < on.length; p++) {
      on[p] = hosts.get(p).occupied();
    }
    for (int v = 0; v < placement.length; v++) {
      int p = placement[v];
      if (p < 0) {
        cost += 2 * alpha;
      } else {
        on[p] = true;
        if (items.get(v).currentHost() >= 0 && items.get(v).currentHost() != p) {
          cost += mu;
        }
      }
    }
    for (boolean b : on) {
      cost += b ? alpha : 0;
    }
    return cost;
  }

  /** Index of the machine on which the task was at the start, or -1. */
  public int currentHost(int item) {
    return items.get(item).currentHost();
  }

  public double bestCost() {
    return bestCost;
  }

  /** Index of each task's machine in the best placement found so far; -1 for none. */
  public int[] bestPlacement() {
    return bestPlacement.clone();
  }

  /** Whether a better placement than the initial one was found. */
  public boolean improved() {
    return improved;
  }

  public boolean exhausted() {
    return exhausted;
  }

  public long nodes() {
    return nodes;
  }

  /** Visits up to a number of nodes. Returns true when the whole tree has been searched. */
  public boolean step(int budget) {
    for (int i = 0; i < budget && !exhausted; i++) {
      nodes++;
      advance();
    }
    return exhausted;
  }

  private void advance() {
    if (!entered) {
      // A new node: record a leaf, prune by the bound, or branch.
      double cost = cost();
      if (depth == items.size()) {
        if (cost < bestCost - Constants.EPS) {
          bestCost = cost;
          System.arraycopy(at, 0, bestPlacement, 0, at.length);
          improved = true;
        }
        back();
        return;
      }
      if (lowerBound() >= bestCost - Constants.EPS) {
        back();
        return;
      }
      int v = select();
      pathItem[depth] = v;
      pathChildren[depth] = children(v);
      pathNext[depth] = 0;
      entered = true;
      return;
    }
    int v = pathItem[depth];
    if (pathNext[depth] == pathChildren[depth].length) {
      back();
      return;
    }
    place(v, pathChildren[depth][pathNext[depth]++]);
    depth++;
    entered = false;
  }

  private void back() {
    if (depth == 0) {
      exhausted = true;
      return;
    }
    depth--;
    unplace(pathItem[depth]);
    entered = true;
  }

  private double cost() {
    return alpha * active + mu * moves + 2 * alpha * skipped;
  }

  /**
   * Lower bound on the cost of any completion, with capacity ignored: undecided tasks stay where
   * they are, and the machines with the fewest of them are emptied while moves are left. Counting
   * starts at machines with one task, since emptying a machine without tasks saves nothing.
   */
  double lowerBound() {
    double cost = cost();
    int[] byCount = new int[items.size() + 1];
    for (int p = 0; p < waiting.length; p++) {
      if (waiting[p] > 0 && held[p] == 0 && !hosts.get(p).occupied()) {
        byCount[waiting[p]]++;
        cost += alpha;
      }
    }
    int left = maxMoves - moves;
    for (int j = 1; j < byCount.length && j < alpha / mu && left > 0; j++) {
      int t = Math.min(byCount[j], left / j);
      left -= t * j;
      cost -= t * (alpha - mu * j);
    }
    return cost;
  }

  /**
   * First-fail order: the task with the fewest possible machines; on ties the one with the largest
   * share of a single resource.
   */
  private int select() {
    int chosen = -1;
    int fewest = Integer.MAX_VALUE;
    double largest = -1;
    for (int v = 0; v < at.length; v++) {
      if (at[v] != OPEN) {
        continue;
      }
      int possible = 0;
      for (int p = 0; p < free.length && possible <= fewest; p++) {
        if (fits(v, p)) {
          possible++;
        }
      }
      double size = size(v);
      if (possible < fewest || possible == fewest && size > largest) {
        chosen = v;
        fewest = possible;
        largest = size;
      }
    }
    return chosen;
  }

  private double size(int v) {
    double most = 0;
    double[] load = items.get(v).load();
    for (int k = 0; k < load.length; k++) {
      most = Math.max(most, scale[k] > 0 ? load[k] / scale[k] : 0);
    }
    return most;
  }

  private boolean fits(int v, int p) {
    Item i = items.get(v);
    if (!i.allowed()[p]) {
      return false;
    }
    if (i.currentHost() >= 0 && i.currentHost() != p && moves >= maxMoves) {
      return false;
    }
    for (int k = 0; k < free[p].length; k++) {
      if (i.load()[k] > free[p][k] + Constants.EPS) {
        return false;
      }
    }
    if (i.group() != null && held[p] > 0) {
      for (int w = 0; w < at.length; w++) {
        if (at[w] == p && i.group().equals(items.get(w).group())) {
          return false;
        }
      }
    }
    return true;
  }

  /** The current machine first, then others by ascending free resources, empty machines last. */
  private int[] children(int v) {
    Item i = items.get(v);
    List<Integer> others = new ArrayList<>();
    for (int p = 0; p < free.length; p++) {
      if (p != i.currentHost() && fits(v, p) && !twin(v, p)) {
        others.add(p);
      }
    }
    others.sort(
        (a, b) -> {
          boolean ea = empty(a);
          boolean eb = empty(b);
          return ea != eb ? Boolean.compare(ea, eb) : Arrays.compare(free[a], free[b]);
        });
    List<Integer> out = new ArrayList<>();
    if (i.currentHost() >= 0 && fits(v, i.currentHost())) {
      out.add(i.currentHost());
    }
    out.addAll(others);
    if (i.currentHost() < 0) {
      out.add(UNPLACED);
    }
    return out.stream().mapToInt(Integer::intValue).toArray();
  }

  private boolean empty(int p) {
    return held[p] == 0 && waiting[p] == 0 && !hosts.get(p).occupied();
  }

  /** Symmetry breaking: of interchangeable empty machines only the first is tried. */
  private boolean twin(int v, int p) {
    if (!empty(p)) {
      return false;
    }
    for (int q = 0; q < p; q++) {
      if (empty(q) && Arrays.equals(free[p], free[q]) && alike(p, q) && fits(v, q)) {
        return true;
      }
    }
    return false;
  }

  private boolean alike(int p, int q) {
    for (Item i : items) {
      if (i.allowed()[p] != i.allowed()[q]) {
        return false;
      }
    }
    return true;
  }

  private void place(int v, int p) {
    Item i = items.get(v);
    at[v] = p;
    if (i.currentHost() >= 0) {
      waiting[i.currentHost()]--;
    }
    if (p == UNPLACED) {
      skipped++;
      return;
    }
    if (held[p]++ == 0 && !hosts.get(p).occupied()) {
      active++;
    }
    if (i.currentHost() >= 0 && i.currentHost() != p) {
      moves++;
    }
    for (int k = 0; k < free[p].length; k++) {
      free[p][k] -= i.load()[k];
    }
  }

  private void unplace(int v) {
    Item i = items.get(v);
    int p = at[v];
    at[v] = OPEN;
    if (i.currentHost() >= 0) {
      waiting[i.currentHost()]++;
    }
    if (p == UNPLACED) {
      skipped--;
      return;
    }
    if (--held[p] == 0 && !hosts.get(p).occupied()) {
      active--;
    }
    if (i.currentHost() >= 0 && i.currentHost() != p) {
      moves--;
    }
    for (int k = 0; k < free[p].length; k++) {
      free[p][k] += i.load()[k];
    }
  }
}
