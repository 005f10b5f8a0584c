package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state service refuses one controller for some seconds. Meanwhile production jobs take the
 * places of two tasks, which are started again on two machines that have just been rented, and end
 * there, one after the other, after the controller is served again and has its partitions back. From then on the controller must go on working.
 */
final class Case1 {
  private static final long REFUSED_MS = 8_600;
  private static final long WAIT_MS = 90_000;

  private Case1() {}

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], Case1::play);
  }

  /** The owner of a partition according to a controller's page for operators. */
  private static String owner(Rig rig, String label, String partition) {
    for (Object item : Json.list(rig.admin(label, "/admin/v1/partitions").get("partitions"))) {
      if (partition.equals(Json.map(item).get("part"))) {
        return (String) Json.map(item).get("owner");
      }
    }
    return null;
  }

  private static void play(Rig rig) throws Exception {
    rig.team("booking-desk", 96, 232);
    rig.team("ranger-liaison", 120, 352);
    rig.team("treasury-unit", 104, 176);
    rig.team("park-planning", 96, 288);
    rig.cloud = new CloudService(rig);
    rig.cloud.bootMs = 6_000;
    rig.start();
    rig.require(
        "all controllers are healthy", 15_000, () -> rig.labels.stream().allMatch(rig::healthy));
    String zone = rig.zones.get(0);
    Map<String, String> owners = new HashMap<>();
    String leader = null;
    long until = rig.now() + 10_000;
    while (rig.now() < until && (owners.size() < 6 || leader == null)) {
      owners.clear();
      for (Object item : Json.list(rig.admin("yurt-0", "/admin/v1/partitions").get("partitions"))) {
        Map<String, Object> partition = Json.map(item);
        if (partition.get("owner") != null) {
          owners.put((String) partition.get("part"), (String) partition.get("owner"));
        }
      }
      leader = (String) rig.admin("yurt-0", "/admin/v1/members").get("leader");
      rig.sleep(100);
    }
    rig.log("case: owners %s, leader %s", owners, leader);

    // A follower that will be refused, one of its partitions, and the partitions of the others.
    String refused = null;
    int own = -1;
    for (int i = 0; i < owners.size() && refused == null; i++) {
      if (!owners.get(zone + "." + i).equals(leader)) {
        refused = owners.get(zone + "." + i);
        own = i;
      }
    }
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < owners.size(); i++) {
      if (!owners.get(zone + "." + i).equals(refused)) {
        others.add(i);
      }
    }
    if (refused == null || others.size() < 3) {
      throw new Rig.Unplayable("no suitable partitions");
    }
    // The machines' names: two in the last of these partitions, which are up at the start, one in
    // each of the first two, and one in the partition of the controller that will be refused.
    int last = others.get(others.size() - 1);
    int[] partitions = {last, last, others.get(0), others.get(1), own};
    int[] numbers = new int[partitions.length];
    for (int i = 0; i < numbers.length; i++) {
      int next = i == 0 ? 231 : numbers[i - 1] + 1;
      numbers[i] = Partitions.numberFor(next, partitions[i], owners.size());
    }
    rig.cloud.names =
        n -> String.format("n-%06d", n <= numbers.length ? numbers[n - 1] : numbers[4] + 100 * n);
    // A worker that reports to the refused controller first would be held there.
    int firstNode = (rig.labels.indexOf(refused) + 1) % rig.labels.size();
    rig.firstNode = () -> firstNode;
    rig.log("case: %s will be refused; its partition %d", refused, own);
    rig.act(() -> rig.cloud.add(zone, false, 0));
    rig.act(() -> rig.cloud.add(zone, false, 0));

    List<Rig.Job> lists = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      lists.add(
          rig.submit(
              Rig.submission(
                  "run-00000" + i, "lane", "permit-lists", "crew", "park-planning", "cores", 15.0,
                  "memoryGb", 5.7, "guessS", 40.0),
              300));
    }
    rig.require(
        "two tasks fill two machines",
        15_000,
        () -> lists.stream().allMatch(job -> rig.running(job) == 1));
    long refusedAt = rig.now();
    String refusedLabel = refused;
    if (rig.trouble) {
      rig.act(() -> rig.state.refuse(refusedLabel, REFUSED_MS));
      rig.log("trouble: the state service refuses %s for %d ms", refused, REFUSED_MS);
    }
    List<Rig.Job> sites = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      sites.add(
          rig.submit(
              Rig.submission(
                  "run-00001" + i, "lane", "booking-site", "crew", "ranger-liaison", "shape",
                  "standing", "rank", "prod", "cores", 12.0, "memoryGb", 13.0, "loaners", false,
                  "guessS", 0.0),
              0));
    }
    rig.require(
        "two production jobs run in their places",
        8_000,
        () -> sites.stream().allMatch(job -> rig.running(job) == 1));
    rig.require(
        "the two stopped tasks run again on new machines",
        8_000,
        () -> lists.stream().allMatch(job -> job.starts == 2));
    if (rig.trouble && rig.now() > refusedAt + REFUSED_MS - 500) {
      throw new Rig.Unplayable("the tasks run too late");
    }
    if (rig.trouble) {
      rig.sleep(Math.max(0, refusedAt + REFUSED_MS - rig.now()));
    }
    long troubleEnd = rig.now();
    String ownName = zone + "." + own;
    String other = rig.labels.get(firstNode);
    while (!refused.equals(owner(rig, other, ownName))) {
      if (rig.now() > troubleEnd + 10_000) {
        throw new Rig.Unplayable(refused + " does not get its partition back");
      }
      rig.sleep(100);
    }
    rig.log("case: %s owns partition %s", refused, ownName);
    rig.sleep(300);
    for (Rig.Job job : lists) {
      rig.act(() -> rig.cloud.workers().forEach(worker -> worker.complete(job.id + "/0")));
      rig.sleep(1_000);
    }

    // No job may be left waiting for 90 s while a machine that fits has room.
    rig.cloud.bootMs = 1_000;
    Rig.Job job =
        rig.submit(
            Rig.submission(
                "run-000021", "lane", "permit-lists", "crew", "booking-desk", "cores", 8.0,
                "memoryGb", 5.7, "loaners", false, "guessS", 5.0),
            5);
    rig.require("another job is accepted", 10_000, () -> job.acceptedAt > 0);
    long noRoomAt = 0;
    while (rig.now() < Rig.LIMIT_MS && rig.broken.isEmpty() && !rig.on(job::isDone)) {
      noRoomAt = rig.on(() -> rig.hasRoom(job, false)) ? noRoomAt : rig.now();
      long since = Math.max(troubleEnd, Math.max(noRoomAt, rig.on(() -> rig.waitsSince(job))));
      if (rig.now() - since >= WAIT_MS) {
        rig.breakRule(
            job.id + " has waited for 90 s although a machine that fits has room; its user was"
                + " last told: " + job.told);
      }
      rig.sleep(100);
    }
    if (job.isDone()) {
      rig.log("case: %s is done", job.id);
    }
    rig.log("polls without an answer, by controller: %s", rig.unanswered);
    rig.quoteLogs(12, "ERROR", "joined the cluster", "expired", "read ", "Unsupported");
    rig.needsVerdict(job.isDone());
  }
}
