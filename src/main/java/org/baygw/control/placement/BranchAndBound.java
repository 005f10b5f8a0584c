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
   * @param currentHost index of its machine, or -1 if it is on none
   * @param group tasks of the same group may not share a machine; null if there is no such rule
   * @param allowed whether each machine is allowed for the task; its current one always is
   */
  public record Item(double[] load, int currentHost, String group, boolean[] allowed) {}

  private static final int UNPLACED = -1;
  private static final int UNDECIDED = -2;

  private final List<Host> hosts;
  private final List<Item> items;
  private final double alpha;
  private final double mu;
  private final int maxMoves;
  private final double[] scale;

  // The current partial placement.
  private final double[][] free;
  private final int[] assigned;
  private final int[] placedCount;
  private final int[] undecidedCount;
  private int activeHosts;
  private int moves;
  private int unplacedCount;

  // The path from the root: the item at each level, its candidate machines and the next to try.
  private final int[] pathItem;
  private final int[][] pathChildren;
  private final int[] pathNextChild;
  private int depth;
  private boolean expanded;
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
    int itemCount = items.size();
    int hostCount = hosts.size();
    int resourceCount = hostCount == 0 ? 0 : hosts.get(0).free().length;
    free = new double[hostCount][];
    placedCount = new int[hostCount];
    undecidedCount = new int[hostCount];
    scale = new double[resourceCount];
    for (int host = 0; host < hostCount; host++) {
      free[host] = hosts.get(host).free().clone();
      activeHosts += hosts.get(host).occupied() ? 1 : 0;
      for (int resource = 0; resource < resourceCount; resource++) {
        scale[resource] = Math.max(scale[resource], free[host][resource]);
      }
    }
    assigned = new int[itemCount];
    Arrays.fill(assigned, UNDECIDED);
    bestPlacement = new int[itemCount];
    for (int item = 0; item < itemCount; item++) {
      int current = items.get(item).currentHost();
      bestPlacement[item] = current;
      if (current >= 0) {
        undecidedCount[current]++;
      }
    }
    // Leaving all tasks where they are is always a valid placement.
    bestCost = costOf(bestPlacement);
    pathItem = new int[itemCount + 1];
    pathChildren = new int[itemCount + 1][];
    pathNextChild = new int[itemCount + 1];
  }

  /** Cost of a complete placement; an unplaced task costs as much as two machines. */
  private double costOf(int[] placement) {
    boolean[] used = new boolean[hosts.size()];
    double cost = 0;
    for (int host = 0; host < used.length; host++) {
      used[host] = hosts.get(host).occupied();
    }
    for (int item = 0; item < placement.length; item++) {
      int host = placement[item];
      if (host < 0) {
        cost += 2 * alpha;
      } else {
        used[host] = true;
        if (items.get(item).currentHost() >= 0 && items.get(item).currentHost() != host) {
          cost += mu;
        }
      }
    }
    for (boolean hostUsed : used) {
      cost += hostUsed ? alpha : 0;
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
    if (!expanded) {
      // A new node: record a leaf, prune by the bound, or branch.
      double cost = cost();
      if (depth == items.size()) {
        if (cost < bestCost - Constants.EPS) {
          bestCost = cost;
          System.arraycopy(assigned, 0, bestPlacement, 0, assigned.length);
          improved = true;
        }
        backtrack();
        return;
      }
      if (lowerBound() >= bestCost - Constants.EPS) {
        backtrack();
        return;
      }
      int item = selectItem();
      pathItem[depth] = item;
      pathChildren[depth] = children(item);
      pathNextChild[depth] = 0;
      expanded = true;
      return;
    }
    int item = pathItem[depth];
    if (pathNextChild[depth] == pathChildren[depth].length) {
      backtrack();
      return;
    }
    place(item, pathChildren[depth][pathNextChild[depth]++]);
    depth++;
    expanded = false;
  }

  private void backtrack() {
    if (depth == 0) {
      exhausted = true;
      return;
    }
    depth--;
    unplace(pathItem[depth]);
    expanded = true;
  }

  private double cost() {
    return alpha * activeHosts + mu * moves + 2 * alpha * unplacedCount;
  }

  /**
   * Lower bound on the cost of any completion, with capacity ignored: undecided tasks stay where
   * they are, and the machines with the fewest of them are emptied while moves are left. Counting
   * starts at machines with one task, since emptying a machine without tasks saves nothing.
   */
  double lowerBound() {
    double cost = cost();
    int[] hostsByCount = new int[items.size() + 1];
    for (int host = 0; host < undecidedCount.length; host++) {
      if (undecidedCount[host] > 0 && placedCount[host] == 0 && !hosts.get(host).occupied()) {
        hostsByCount[undecidedCount[host]]++;
        cost += alpha;
      }
    }
    int movesLeft = maxMoves - moves;
    for (int taskCount = 1;
        taskCount < hostsByCount.length && taskCount < alpha / mu && movesLeft > 0;
        taskCount++) {
      int emptied = Math.min(hostsByCount[taskCount], movesLeft / taskCount);
      movesLeft -= emptied * taskCount;
      cost -= emptied * (alpha - mu * taskCount);
    }
    return cost;
  }

  /**
   * First-fail order: the task with the fewest possible machines; on ties the one with the largest
   * share of a single resource.
   */
  private int selectItem() {
    int chosen = -1;
    int fewest = Integer.MAX_VALUE;
    double largest = -1;
    for (int item = 0; item < assigned.length; item++) {
      if (assigned[item] != UNDECIDED) {
        continue;
      }
      int possible = 0;
      for (int host = 0; host < free.length && possible <= fewest; host++) {
        if (fits(item, host)) {
          possible++;
        }
      }
      double size = relativeSize(item);
      if (possible < fewest || possible == fewest && size > largest) {
        chosen = item;
        fewest = possible;
        largest = size;
      }
    }
    return chosen;
  }

  private double relativeSize(int item) {
    double largest = 0;
    double[] load = items.get(item).load();
    for (int resource = 0; resource < load.length; resource++) {
      largest = Math.max(largest, scale[resource] > 0 ? load[resource] / scale[resource] : 0);
    }
    return largest;
  }

  private boolean fits(int item, int host) {
    Item task = items.get(item);
    if (!task.allowed()[host]) {
      return false;
    }
    if (task.currentHost() >= 0 && task.currentHost() != host && moves >= maxMoves) {
      return false;
    }
    for (int resource = 0; resource < free[host].length; resource++) {
      if (task.load()[resource] > free[host][resource] + Constants.EPS) {
        return false;
      }
    }
    if (task.group() != null && placedCount[host] > 0) {
      for (int other = 0; other < assigned.length; other++) {
        if (assigned[other] == host && task.group().equals(items.get(other).group())) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * The machines to try for a task: the current one first, then others by ascending free resources,
   * then empty ones. A task that is on no machine may also stay unplaced, which is tried last.
   */
  private int[] children(int item) {
    Item task = items.get(item);
    List<Integer> others = new ArrayList<>();
    for (int host = 0; host < free.length; host++) {
      if (host != task.currentHost()
          && fits(item, host)
          && !isInterchangeableWithEarlier(item, host)) {
        others.add(host);
      }
    }
    others.sort(
        (a, b) -> {
          boolean aEmpty = isEmpty(a);
          boolean bEmpty = isEmpty(b);
          return aEmpty != bEmpty
              ? Boolean.compare(aEmpty, bEmpty)
              : Arrays.compare(free[a], free[b]);
        });
    List<Integer> result = new ArrayList<>();
    if (task.currentHost() >= 0 && fits(item, task.currentHost())) {
      result.add(task.currentHost());
    }
    result.addAll(others);
    if (task.currentHost() < 0) {
      result.add(UNPLACED);
    }
    return result.stream().mapToInt(Integer::intValue).toArray();
  }

  private boolean isEmpty(int host) {
    return placedCount[host] == 0 && undecidedCount[host] == 0 && !hosts.get(host).occupied();
  }

  /** Symmetry breaking: of interchangeable empty machines only the first is tried. */
  private boolean isInterchangeableWithEarlier(int item, int host) {
    if (!isEmpty(host)) {
      return false;
    }
    for (int other = 0; other < host; other++) {
      if (isEmpty(other)
          && Arrays.equals(free[host], free[other])
          && allowedForSameTasks(host, other)
          && fits(item, other)) {
        return true;
      }
    }
    return false;
  }

  private boolean allowedForSameTasks(int host, int other) {
    for (Item task : items) {
      if (task.allowed()[host] != task.allowed()[other]) {
        return false;
      }
    }
    return true;
  }

  private void place(int item, int host) {
    Item task = items.get(item);
    assigned[item] = host;
    if (task.currentHost() >= 0) {
      undecidedCount[task.currentHost()]--;
    }
    if (host == UNPLACED) {
      unplacedCount++;
      return;
    }
    if (placedCount[host]++ == 0 && !hosts.get(host).occupied()) {
      activeHosts++;
    }
    if (task.currentHost() >= 0 && task.currentHost() != host) {
      moves++;
    }
    for (int resource = 0; resource < free[host].length; resource++) {
      free[host][resource] -= task.load()[resource];
    }
  }

  private void unplace(int item) {
    Item task = items.get(item);
    int host = assigned[item];
    assigned[item] = UNDECIDED;
    if (task.currentHost() >= 0) {
      undecidedCount[task.currentHost()]++;
    }
    if (host == UNPLACED) {
      unplacedCount--;
      return;
    }
    if (--placedCount[host] == 0 && !hosts.get(host).occupied()) {
      activeHosts--;
    }
    if (task.currentHost() >= 0 && task.currentHost() != host) {
      moves--;
    }
    for (int resource = 0; resource < free[host].length; resource++) {
      free[host][resource] += task.load()[resource];
    }
  }
}
