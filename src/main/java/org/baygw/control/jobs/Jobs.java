package org.baygw.control.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.membership.Peers;
import org.baygw.control.model.Job;
import org.baygw.control.model.JobSpec;
import org.baygw.control.model.MachineType;
import org.baygw.control.model.Progress;
import org.baygw.control.model.Records;
import org.baygw.control.model.TaskId;
import org.baygw.control.store.Keys;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;
import org.baygw.control.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' API, at every controller. Accepting and cancelling are conditional writes, answered
 * after the write; every other answer comes from a copy made current first, unless it is final.
 */
public final class Jobs {
  private static final Logger LOG = LoggerFactory.getLogger(Jobs.class);

  private static final String PATH = "/v1/jobs";

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache view;
  private final Peers peers;
  private int waiting;

  public Jobs(
      Clock clock, Outbox out, Settings settings, Store store, StateCache view, Peers peers) {
    this.peers = peers;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.view = view;
  }

  /** Whether this controller can take requests. */
  public boolean ready() {
    // Users are better served elsewhere while the state service refuses this controller alone.
    return store.loaded() && !peers.isolatedFromStateService();
  }

  /** Handles a request if it is one of ours. */
  public boolean handle(long request, String method, String path, byte[] body) {
    if (path.equals("/up")) {
      if (!method.equals("GET")) {
        wrongMethod(request);
      } else if (ready()) {
        out.answer(request, 200, Json.bytes(Json.object().put("status", "up")));
      } else {
        later(request, 503, "not read in yet");
      }
      return true;
    }
    if (path.equals(PATH)) {
      if (method.equals("POST")) {
        submit(request, body);
      } else {
        wrongMethod(request);
      }
      return true;
    }
    if (!path.startsWith(PATH + "/")) {
      return false;
    }
    String rest = path.substring(PATH.length() + 1);
    boolean abort = rest.endsWith("/abort");
    String id = abort ? rest.substring(0, rest.length() - "/abort".length()) : rest;
    if (id.contains("/")) {
      return false;
    }
    if (!method.equals(abort ? "POST" : "GET")) {
      wrongMethod(request);
    } else if (!SubmissionCodec.validId(id)) {
      unknown(request);
    } else if (abort) {
      abort(request, id, 3);
    } else {
      poll(request, id);
    }
    return true;
  }

  private void submit(long request, byte[] body) {
    JsonNode n = Json.parseStrict(body);
    if (!n.isObject()) {
      error(request, 400, "body: not a JSON object");
      return;
    }
    String id = n.path("id").asText("");
    if (!n.path("id").isTextual() || !SubmissionCodec.validId(id)) {
      error(request, 400, "id: missing or invalid");
      return;
    }
    if (!store.loaded()) {
      later(request, 503, "not read in yet");
      return;
    }
    if (view.jobs.containsKey(id)) {
      poll(request, id);
      return;
    }
    JobSpec spec;
    try {
      spec = SubmissionCodec.decode(n);
    } catch (SubmissionCodec.Malformed e) {
      refuse(request, id, 400, e.getMessage() + ": missing or invalid");
      return;
    }
    if (settings.team(spec.team()) == null) {
      refuse(request, id, 422, "crew: unknown team");
      return;
    }
    if (view.types.isEmpty()) {
      later(request, 503, "the machine types are not known yet");
      return;
    }
    String never = neverRuns(spec);
    if (never != null) {
      refuse(request, id, 422, never);
      return;
    }
    if (waiting >= Constants.MAX_PENDING_SUBMISSIONS) {
      later(request, 429, "too many submissions at once");
      return;
    }
    Job job = Job.accepted(spec, clock.wall());
    waiting++;
    store.txn(
        Store.Urgency.SUBMIT,
        new Txn().when(Keys.job(id), 0).put(Keys.job(id), Records.job(job)),
        Constants.SUBMIT_WAIT_MS,
        outcome -> {
          waiting--;
          switch (outcome) {
            case OK -> out.answer(request, 201, state(id, "pending", null));
            case CONFLICT -> poll(request, id);
            case REFUSED -> later(request, 429, "the state service takes no more now");
            case UNKNOWN -> later(request, 503, "the state service does not answer");
          }
        });
  }

  /** A known id is never refused, so a refusal waits for a current copy. */
  private void refuse(long request, String id, int status, String why) {
    store.whenCurrent(
        ok -> {
          if (!ok) {
            later(request, 503, "the state service does not answer");
          } else if (view.jobs.containsKey(id)) {
            answer(request, id);
          } else {
            LOG.info("refused {} with {}: {}", id, status, why);
            error(request, status, why);
          }
        });
  }

  private String neverRuns(JobSpec s) {
    Settings.Team team = settings.team(s.team());
    boolean fits = false;
    for (MachineType t : view.types) {
      fits |=
          t.fits(s)
              && s.typeAllowed(t.name())
              && (s.zone() == null || t.zones().contains(s.zone()));
    }
    if (!fits) {
      return "no allowed machine type holds a task";
    }
    int together = s.service() ? s.tasks() : 1;
    if (s.cpus() * together > team.cpusMax() + Constants.EPS
        || s.gpus() * together > team.gpusMax() + Constants.EPS) {
      return "more than the team's limit";
    }
    return null;
  }

  private void poll(long request, String id) {
    StateCache.Entry<Job> known = view.jobs.get(id);
    if (known != null && !known.value().open()) {
      answer(request, id);
      return;
    }
    if (!store.loaded()) {
      later(request, 503, "not read in yet");
      return;
    }
    store.whenCurrent(
        ok -> {
          if (ok) {
            answer(request, id);
          } else {
            later(request, 503, "the state service does not answer");
          }
        });
  }

  private void abort(long request, String id, int tries) {
    StateCache.Entry<Job> known = view.jobs.get(id);
    if (known != null && !known.value().open()) {
      answer(request, id);
      return;
    }
    if (!store.loaded() || tries == 0) {
      later(request, 503, "not now");
      return;
    }
    if (known == null) {
      store.whenCurrent(
          ok -> {
            if (!ok) {
              later(request, 503, "the state service does not answer");
            } else if (view.jobs.containsKey(id)) {
              abort(request, id, tries - 1);
            } else {
              unknown(request);
            }
          });
      return;
    }
    store.txn(
        Store.Urgency.CANCEL,
        new Txn()
            .when(Keys.job(id), known.stamp())
            .put(Keys.job(id), Records.job(known.value().cancelled(clock.wall()))),
        Constants.SUBMIT_WAIT_MS,
        outcome -> {
          switch (outcome) {
            case OK -> {
              peers.announceCancellation();
              answer(request, id);
            }
            case CONFLICT -> store.whenCurrent(ok -> abort(request, id, ok ? tries - 1 : 0));
            default -> later(request, 503, "the state service does not answer");
          }
        });
  }

  private void answer(long request, String id) {
    StateCache.Entry<Job> e = view.jobs.get(id);
    if (e == null) {
      unknown(request);
      return;
    }
    Job job = e.value();
    int tasks = job.spec().tasks();
    ObjectNode n = Json.object();
    if (job.state() == Job.State.DONE) {
      out.answer(request, 200, state(id, "done", n.put("done", tasks).put("running", 0)));
      return;
    }
    int done = 0;
    int running = 0;
    TreeMap<Integer, StateCache.Entry<Progress>> chunks = view.progress.get(id);
    if (chunks != null) {
      for (StateCache.Entry<Progress> p : chunks.values()) {
        done += p.value().done.cardinality();
        for (int i : p.value().live.keySet()) {
          if (view.taskMachines.containsKey(new TaskId(id, i))) {
            running++;
          }
        }
      }
    }
    String status =
        job.state() == Job.State.CANCELLED ? "cancelled" : running > 0 ? "running" : "pending";
    out.answer(request, 200, state(id, status, n.put("done", done).put("running", running)));
  }

  private static byte[] state(String id, String status, ObjectNode more) {
    ObjectNode n = Json.object().put("id", id).put("status", status);
    if (more != null) {
      n.setAll(more);
    }
    return Json.bytes(n);
  }

  private void unknown(long request) {
    error(request, 404, "no such job");
  }

  private void wrongMethod(long request) {
    error(request, 405, "wrong method");
  }

  private void error(long request, int status, String why) {
    out.answer(request, status, Json.bytes(Json.object().put("error", why)));
  }

  private void later(long request, int status, String why) {
    out.answer(
        request, status, Json.bytes(Json.object().put("error", why)), Constants.RETRY_AFTER_S);
  }
}
