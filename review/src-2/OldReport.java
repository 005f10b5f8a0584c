import java.util.HashSet;
import java.util.Set;

/**
 * All controllers end and are away for longer than a lease; a job's task, whose failure nobody has
 * recorded, is started again on its machine. Later all controllers end again and are back at once,
 * and an old report of that machine, from the session before, reaches every controller just as the
 * new ones begin.
 */
final class OldReport {
  public static void main(String[] args) throws Exception {
    Rig.Site site = new Rig.Site();
    Rig rig = new Rig(site);
    rig.prepare();
    rig.startAll();
    rig.cloud.capacity = 12;
    for (int i = 0; i < 12; i++) {
      rig.cloud.add(site.zones.get(0), false, 0);
    }
    rig.awaitUp(15);
    Users users = new Users(rig);
    Checks.Job permits = new Checks.Job();
    permits.id = "run-000001";
    permits.tasks = 12;
    permits.cpus = 10;
    permits.runMs = 300_000;
    users.submit(permits);
    if (!rig.await(20, () -> rig.checks.starts >= 12)) {
      rig.cannotRun("the first job does not start");
    }
    rig.sleepUntil(rig.now() / 1000.0 + 2);

    String task = "run-000002/0";
    Worker[] first = new Worker[1];
    byte[][] oldReport = new byte[1][];
    Worker.faults =
        (worker, t, number) -> {
          if (t.equals(task) && first[0] == null) {
            first[0] = worker;
            return 1500;
          }
          return -1;
        };
    Worker.onReportSent =
        (worker, report, status) -> {
          boolean tellsOfFailure =
              worker == first[0]
                  && new String(report).contains("\"" + task + "\",\"try\":1,\"status\":\"ended\"");
          if (tellsOfFailure && oldReport[0] == null) {
            oldReport[0] = report;
            if (rig.trouble) {
              Rig.sleep(4);
              rig.killAll();
            }
          }
        };
    Checks.Job refund = new Checks.Job();
    refund.id = "run-000002";
    refund.cpus = 4;
    refund.runMs = 90_000;
    users.submit(refund);
    if (!rig.await(15, () -> oldReport[0] != null)) {
      rig.cannotRun("the second job's task did not start and fail");
    }
    rig.note("the report that tells of the failure: " + new String(oldReport[0]));
    if (!rig.trouble) {
      rig.sleepUntil(60);
      rig.finish();
    }
    rig.sleepUntil(rig.now() / 1000.0 + site.leaseS + 2);
    rig.startAll();
    rig.awaitUp(15);
    if (!rig.await(20, () -> first[0].runs(task))) {
      rig.note("the task was not started again on " + first[0].name);
      rig.sleepUntil(rig.now() / 1000.0 + 10);
      rig.finish();
    }
    rig.sleepUntil(rig.now() / 1000.0 + 4);

    // The machine's last report was just answered: its next one is most of a period away.
    long[] lastAnswer = {0};
    Worker.onReportAnswered =
        (worker, report, status) -> {
          if (worker == first[0]) {
            lastAnswer[0] = rig.now();
          }
        };
    rig.await(6, () -> lastAnswer[0] > 0);
    rig.killAll();
    Set<String> reached = new HashSet<>();
    rig.state.onWritten =
        (from, keys) -> {
          if (keys.stream().anyMatch(k -> k.startsWith("b/claim/")) && reached.add(from)) {
            rig.after(
                300,
                () -> {
                  rig.note("the old report of " + first[0].name + " reaches " + from);
                  rig.send(from, false, "POST", "/checkin", oldReport[0], 4)
                      .thenAccept(a -> rig.note(from + " answers it " + a.status()));
                });
          }
        };
    rig.startAll();
    rig.await(25, () -> !rig.checks.broken.isEmpty());
    rig.sleepUntil(rig.now() / 1000.0 + 3);
    rig.finish();
  }
}
