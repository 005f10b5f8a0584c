package org.baygw.control.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.model.JobSpec;

/** CPUs and GPUs of each team's live tasks, updated in a pass as tasks are granted or stopped. */
final class TeamUsage {
  private static final class Amounts {
    double cpus;
    double gpus;
  }

  private final Map<String, Amounts> byTeam = new HashMap<>();

  TeamUsage(List<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      byTeam.put(team.name(), new Amounts());
    }
  }

  /** Adds a number of tasks of a job to its team's usage; a negative number subtracts them. */
  void add(JobSpec spec, int tasks) {
    Amounts amounts = byTeam.get(spec.team());
    if (amounts != null) {
      amounts.cpus += spec.cpus() * tasks;
      amounts.gpus += spec.gpus() * tasks;
    }
  }

  double cpus(String team) {
    return byTeam.get(team).cpus;
  }

  /** Number of the wanted tasks that the team's limit allows. */
  int allowed(Settings.Team team, JobSpec spec, int wanted) {
    Amounts amounts = byTeam.get(team.name());
    int byCpus = limit(wanted, team.cpusMax() - amounts.cpus, spec.cpus());
    return limit(byCpus, team.gpusMax() - amounts.gpus, spec.gpus());
  }

  private static int limit(int wanted, double available, double perTask) {
    return perTask <= 0
        ? wanted
        : (int) Math.min(wanted, Math.floor((available + Constants.EPS) / perTask));
  }
}
