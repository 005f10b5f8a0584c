package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A production job is accepted while another team's work, which saves checkpoints, fills the
 * machine. The command that stops one of its tasks is held up once on its way to the worker.
 */
final class Case3 {
  private static final long WAIT_MS = 90_000;

  private Case3() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], Case3::play);
  }

  private static boolean stopsGracefully(Map<String, Object> request) {
    return Json.list(request.get("orders")).stream()
        .map(Json::map)
        .anyMatch(o -> o.get("verb").equals("kill") && Json.decimal(o.get("windDownS")) > 0);
  }

  private static void play(Rig rig) throws Exception {
    rig.team("booking-desk", 96, 232);
    rig.team("ranger-liaison", 120, 352);
    rig.team("treasury-unit", 104, 176);
    rig.team("park-planning", 96, 288);
    rig.team("eco-survey", 0, 0);
    rig.cloud = new CloudService(rig);
    rig.start();
    rig.require(
        "all controllers are healthy", 15_000, () -> rig.labels.stream().allMatch(rig::healthy));
    rig.act(() -> rig.cloud.add(rig.zones.get(0), false, 0));
    boolean[] held = new boolean[1];
    rig.fate =
        (worker, uri, request) -> {
          if (rig.trouble && !held[0] && stopsGracefully(request)) {
            held[0] = true;
            return Worker.Fate.HELD;
          }
          return Worker.Fate.DELIVERED;
        };
    List<Rig.Job> batch = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      batch.add(
          rig.submit(
              Rig.submission(
                  "run-00000" + i, "lane", "grazing-models", "crew", "eco-survey", "rank",
                  "best_effort", "cores", 4.0, "memoryGb", 28.8, "guessS", 300.0, "stashEveryS",
                  30.0, "stashS", 3.0),
              300));
    }
    rig.require("four tasks fill the machine", 15_000, () -> batch.stream().allMatch(j -> rig.running(j) == 1));
    Rig.Job site =
        rig.submit(
            Rig.submission(
                "run-000005", "lane", "booking-site", "crew", "ranger-liaison", "shape", "standing",
                "rank", "prod", "cores", 2.0, "memoryGb", 13.0, "loaners", false, "guessS", 0.0),
            0);
    rig.require("the production job is accepted", 10_000, () -> site.acceptedAt > 0);
    if (rig.trouble) {
      rig.require("trouble: the command is held up", 10_000, () -> held[0]);
      rig.sleep(10_000);
    }
    long troubleEnd = rig.now();
    while (rig.now() < Rig.LIMIT_MS && rig.broken.isEmpty() && !rig.on(() -> site.startedAt > 0)) {
      if (rig.now() - troubleEnd >= WAIT_MS) {
        rig.breakRule(
            site.id + ", within its team's guarantee, has waited for 90 s for the work of a team"
                + " without guarantee; its user was last told: " + site.told);
      }
      rig.sleep(100);
    }
    if (site.startedAt > 0) {
      rig.log("case: the production job runs %d ms after it was accepted", site.startedAt - site.acceptedAt);
    }
    rig.quoteLogs(6, "ERROR", "stopping");
    rig.needsVerdict(site.startedAt > 0);
  }
}
