package review;

/** One machine stops while the last tasks of a huge array run. */
final class Case2 {
  private static final long WAIT_MS = 90_000;
  private static final long TASKS = 52_000;

  private Case2() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], Case2::play);
  }

  private static void play(Rig rig) throws Exception {
    rig.site = "siam-residence";
    rig.zones = java.util.List.of("bkk-east", "bkk-silom");
    rig.reportS = 2;
    rig.leaseS = 10;
    rig.cancelS = 35;
    rig.stateRps = 250;
    rig.stateWriteRps = 100;
    rig.stateTxnOps = 32;
    rig.cloudRps = 6;
    rig.listLagS = 6;
    rig.machineType = "khao-16";
    rig.machineMemoryGb = 64;
    rig.readyS = 50;
    rig.price = 0.62;
    rig.spotPrice = 0.14;
    rig.cpuShare = 0.204;
    rig.ramMb = 205;
    rig.maxConnections = 1500;
    rig.team("juristic-ops", 232, 2500);
    rig.team("finance-desk", 96, 700);
    rig.team("facility-tech", 120, 1500);
    rig.recordsTasks = false;
    rig.cloud = new CloudService(rig);
    rig.cloud.capacity = 109;
    rig.cloud.bootMs = 1_000;
    rig.start();
    rig.require(
        "all controllers are healthy", 15_000, () -> rig.labels.stream().allMatch(rig::healthy));

    Rig.Job job =
        rig.submit(
            Rig.submission(
                "run-000001", "lane", "lease-backfill", "crew", "juristic-ops", "rank",
                "best_effort", "chores", TASKS, "cores", 0.08, "memoryGb", 0.3, "guessS", 0.5),
            0.5);
    rig.require("the array begins", 20_000, () -> job.starts > 0);
    rig.require(
        "the last tasks run",
        60_000,
        () -> rig.cloud.workers().stream().anyMatch(w -> w.highestActive() >= TASKS - 1_000));
    if (rig.trouble) {
      rig.act(
          () -> {
            Worker last = null;
            for (Worker worker : rig.cloud.workers()) {
              last = last == null || worker.highestActive() > last.highestActive() ? worker : last;
            }
            rig.log(
                "trouble: %s stops with %d tasks on it, up to number %d",
                last.name, last.active(), last.highestActive());
            rig.cloud.stop(last.name);
          });
    }
    long troubleEnd = rig.now();
    long noRoomAt = 0;
    long nextLog = 0;
    while (rig.now() < Rig.LIMIT_MS && rig.broken.isEmpty()) {
      int done = rig.on(() -> job.done.cardinality());
      if (done == TASKS && job.told.equals("done")) {
        rig.log("case: all %d tasks are done and the user knows", TASKS);
        break;
      }
      if (rig.now() >= nextLog) {
        nextLog = rig.now() + 2_000;
        rig.log(
            "what runs: %d starts, %d ends, %d of %d tasks done, %d machines; state service: %d"
                + " transactions refused as too large, %d requests as too many",
            rig.starts, rig.ends, done, TASKS, rig.on(() -> rig.cloud.workers().size()),
            rig.state.tooLarge, rig.state.tooMany);
      }
      noRoomAt = rig.on(() -> rig.hasRoom(job, true)) ? noRoomAt : rig.now();
      long since = Math.max(troubleEnd, Math.max(noRoomAt, rig.on(() -> rig.waitsSince(job))));
      if (done < TASKS && rig.now() - since >= WAIT_MS) {
        rig.breakRule(
            job.id + " has waited for 90 s with " + (TASKS - done) + " tasks left, of which none"
                + " runs, although machines have room; its user was last told: " + job.told
                + "; the state service refused " + rig.state.tooLarge + " transactions, the last: "
                + rig.state.largestRefused);
      }
      rig.sleep(200);
    }
    rig.quoteLogs(4, "ERROR", "rejected a write");
    rig.needsVerdict(job.isDone());
  }
}
