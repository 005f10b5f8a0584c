package org.baygw.control.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.membership.Membership;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.Machine;
import org.baygw.control.model.Part;
import org.baygw.control.model.Roster;
import org.baygw.control.placement.Room;
import org.baygw.control.placement.Rooms;
import org.baygw.control.store.View;

/**
 * What the partitions have free in one pass, less what was granted to them and is on no machine
 * yet.
 */
final class FreeCapacity {
  /** A machine that has room for a task, and its partition. */
  record Place(Part part, Room room) {}

  private final Settings settings;
  private final View view;
  private final ZoneRules zones;
  private final Map<Part, List<Room>> rooms = new TreeMap<>();

  FreeCapacity(
      Settings settings,
      View view,
      Membership membership,
      Rooms cache,
      JobWrites writes,
      ZoneRules zones) {
    this.settings = settings;
    this.view = view;
    this.zones = zones;
    for (Part part : membership.parts()) {
      if (membership.owner(part) != null) {
        List<Room> list = machines(part, cache);
        takeUnplaced(part, list, writes);
        if (!list.isEmpty()) {
          rooms.put(part, list);
        }
      }
    }
  }

  private List<Room> machines(Part part, Rooms cache) {
    int pages = view.pages(part);
    Set<Integer> fullPages = fullPages(part, pages);
    List<Room> list = new ArrayList<>();
    for (String name : view.machinesOf(part)) {
      Machine machine = view.machines.get(name).value();
      boolean usable =
          machine.condition() == Machine.Condition.OK
              && !view.drains.containsKey(name)
              && (fullPages.isEmpty() || !fullPages.contains(Roster.pageOf(name, pages)));
      Room room = usable ? cache.of(machine) : null;
      if (room != null) {
        list.add(room);
      }
    }
    return list;
  }

  /** The pages of a partition's record that can take no more tasks. */
  private Set<Integer> fullPages(Part part, int pages) {
    int limitBytes = (int) (settings.state().valueKb() * 1024 * Constants.ROSTER_FULL);
    Set<Integer> full = new HashSet<>();
    for (int i = 0; i < pages; i++) {
      if (view.roster(part, i).size() > limitBytes) {
        full.add(i);
      }
    }
    return full;
  }

  /** Takes like tasks together, or every one of them would look through all machines. */
  private void takeUnplaced(Part part, List<Room> list, JobWrites writes) {
    Map<String, Integer> unplaced = new TreeMap<>();
    view.unplaced(part).forEach(task -> unplaced.merge(task.job(), 1, Integer::sum));
    writes.addGrantsTo(part, unplaced);
    unplaced.forEach(
        (id, count) -> {
          View.Entry<Job> job = view.jobs.get(id);
          int left = job == null ? 0 : count;
          for (Room room : list) {
            if (left == 0) {
              break;
            }
            left = room.fill(job.value().spec(), left);
          }
        });
  }

  /**
   * The partition with the most free room among those that have a machine for the task, or null.
   */
  Place roomiest(JobSpec spec, int[] zoneLive, Set<Part> avoided) {
    String only = zones.only(spec, zoneLive);
    Place best = null;
    double mostFree = -1;
    int bestRank = -1;
    for (Map.Entry<Part, List<Room>> entry : rooms.entrySet()) {
      Part part = entry.getKey();
      int zone = zones.index(part.zone());
      if (zone < 0
          || only != null && !only.equals(part.zone())
          || !zones.hasShareLeft(spec, zone, zoneLive)) {
        continue;
      }
      double free = 0;
      Room fit = null;
      for (Room room : entry.getValue()) {
        if (room.fits(spec)) {
          free += room.tasks() > 0 ? room.freeCpus() : 0;
          fit = fit == null || room.better(fit, spec) ? room : fit;
        }
      }
      int rank = fit == null ? -1 : avoided.contains(part) ? 0 : fit.rank(spec) + 1;
      if (fit != null && (rank > bestRank || rank == bestRank && free > mostFree)) {
        best = new Place(part, fit);
        mostFree = free;
        bestRank = rank;
      }
    }
    return best;
  }
}
