import java.util.Map;

/** Stand-in of the users behind the load balancer, by the protocol's page. */
final class Users {
  private final Rig rig;
  private int next;

  Users(Rig rig) {
    this.rig = rig;
  }

  /** Submits a job and polls it until it is done or cancelled. */
  void submit(Checks.Job job) {
    synchronized (rig) {
      rig.checks.add(job);
      rig.note("user submits " + job.id + ": " + new String(job.submission()));
    }
    ask("POST", "/v1/jobs", job.submission(), job.id, 5, rig.now() + 60_000, true);
  }

  void cancel(String id) {
    synchronized (rig) {
      rig.checks.cancelRequested(id);
      rig.note("user cancels " + id);
    }
    ask("POST", "/v1/jobs/" + id + "/abort", new byte[0], id, 5, Long.MAX_VALUE, false);
  }

  private synchronized String pick() {
    for (int i = 0; i < rig.labels.size(); i++) {
      String label = rig.labels.get(next++ % rig.labels.size());
      if (rig.isAlive(label)) {
        return label;
      }
    }
    return rig.labels.get(0);
  }

  private void ask(
      String method, String path, byte[] body, String id, double timeoutS, long until, boolean poll) {
    String before;
    synchronized (rig) {
      before = rig.checks.told(id);
    }
    rig.send(pick(), false, method, path, body, timeoutS)
        .thenAccept(
            answer -> {
              synchronized (rig) {
                int status = answer.status();
                rig.checks.answered(id, status, answer.body(), before);
                boolean answered = status == 200 || status == 201 || status == 404;
                if (!answered && status != 400 && status != 422 && rig.now() < until) {
                  rig.after(1000, () -> ask(method, path, body, id, timeoutS, until, poll));
                } else if (poll && answered) {
                  schedulePoll(id);
                }
              }
            });
  }

  private void schedulePoll(String id) {
    String told = rig.checks.told(id);
    if (!"done".equals(told) && !"cancelled".equals(told)) {
      rig.after(
          4000 + (long) (Math.random() * 2000),
          () -> ask("GET", "/v1/jobs/" + id, null, id, 2, Long.MAX_VALUE, true));
    }
  }
}
