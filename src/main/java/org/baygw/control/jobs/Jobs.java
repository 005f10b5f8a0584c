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
 * The users' HTTP API, served by every controller. Accepting and cancelling a job are conditional
 * writes to the state service, answered after the write. Every other answer about a job comes from
 * the state cache, which is first brought up to date unless the job is in a final state there.
 */
public final class Jobs {
  private static final Logger LOG = LoggerFactory.getLogger(Jobs.class);

  private static final String PATH = "/v1/jobs";
  private static final String RECORD_TOO_LARGE = "the job's record exceeds the limit on values";

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final Peers peers;
  private int pendingSubmissions;

  public Jobs(
      Clock clock, Outbox out, Settings settings, Store store, StateCache cache, Peers peers) {
    this.peers = peers;
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
  }

  /** Returns whether this controller can serve users' requests. */
  public boolean ready() {
    // While only this controller cannot reach the state service, another one serves users better.
    return store.loaded() && !store.readsOverdue() && !peers.isolatedFromStateService();
  }

  /** Handles a request to a path of this API; returns false for any other path. */
  public boolean handle(long request, String method, String path, byte[] body) {
    if (path.equals("/up")) {
      if (!method.equals("GET")) {
        methodNotAllowed(request);
      } else if (ready()) {
        out.answer(request, 200, Json.bytes(Json.object().put("status", "up")));
      } else {
        retryLater(request, 503, "state not loaded or out of date");
      }
      return true;
    }
    if (path.equals(PATH)) {
      if (method.equals("POST")) {
        submit(request, body);
      } else {
        methodNotAllowed(request);
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
      methodNotAllowed(request);
    } else if (!SubmissionCodec.validId(id)) {
      notFound(request);
    } else if (abort) {
      abort(request, id, 3);
    } else {
      poll(request, id);
    }
    return true;
  }

  private void submit(long request, byte[] body) {
    JsonNode submission = Json.parseStrict(body);
    if (!submission.isObject()) {
      error(request, 400, "body: not a JSON object");
      return;
    }
    String id = submission.path("id").asText("");
    if (!submission.path("id").isTextual() || !SubmissionCodec.validId(id)) {
      error(request, 400, "id: missing or invalid");
      return;
    }
    if (!store.loaded()) {
      retryLater(request, 503, "state not loaded yet");
      return;
    }
    if (cache.jobs.containsKey(id)) {
      poll(request, id);
      return;
    }
    JobSpec spec;
    try {
      spec = SubmissionCodec.decode(submission);
    } catch (SubmissionCodec.InvalidField e) {
      refuse(request, id, 400, e.getMessage() + ": missing or invalid");
      return;
    }
    if (settings.team(spec.team()) == null) {
      refuse(request, id, 422, "crew: unknown team");
      return;
    }
    if (cache.types.isEmpty()) {
      retryLater(request, 503, "machine types not loaded yet");
      return;
    }
    String unschedulable = unschedulableReason(spec);
    if (unschedulable != null) {
      refuse(request, id, 422, unschedulable);
      return;
    }
    if (pendingSubmissions >= Constants.MAX_PENDING_SUBMISSIONS) {
      retryLater(request, 429, "too many pending submissions");
      return;
    }
    Job job = Job.accepted(spec, clock.wall());
    if (!recordFits(job)) {
      refuse(request, id, 422, RECORD_TOO_LARGE);
      return;
    }
    pendingSubmissions++;
    store.txn(
        Store.Urgency.SUBMIT,
        new Txn().when(Keys.job(id), 0).put(Keys.job(id), Records.job(job)),
        Constants.SUBMIT_WAIT_MS,
        outcome -> {
          pendingSubmissions--;
          switch (outcome) {
            case OK -> out.answer(request, 201, statusBody(id, "pending", null));
            case CONFLICT -> poll(request, id);
            case REFUSED ->
                retryLater(request, 429, "the state service accepts no more writes now");
            case REJECTED -> error(request, 422, RECORD_TOO_LARGE);
            case UNKNOWN -> retryLater(request, 503, "the state service does not answer");
          }
        });
  }

  /** Whether the job's record fits into a value of the state service, also once it is cancelled. */
  private boolean recordFits(Job job) {
    int bytes = Json.size(Records.job(job.cancelled(job.acceptedMs())));
    return bytes <= settings.state().maxValueBytes();
  }

  /**
   * Rejects a submission, after bringing the state cache up to date: a submission with the id of an
   * existing job is answered with that job's status instead.
   */
  private void refuse(long request, String id, int status, String reason) {
    store.whenCurrent(
        ok -> {
          if (!ok) {
            retryLater(request, 503, "the state service does not answer");
          } else if (cache.jobs.containsKey(id)) {
            answer(request, id);
          } else {
            LOG.info("rejected submission {} with status {}: {}", id, status, reason);
            error(request, status, reason);
          }
        });
  }

  private String unschedulableReason(JobSpec spec) {
    Settings.Team team = settings.team(spec.team());
    boolean fits = false;
    for (MachineType type : cache.types) {
      fits |=
          type.fits(spec)
              && spec.typeAllowed(type.name())
              && (spec.zone() == null || type.zones().contains(spec.zone()));
    }
    if (!fits) {
      return "no allowed machine type holds a task";
    }
    int concurrentTasks = spec.service() ? spec.tasks() : 1;
    if (spec.cpus() * concurrentTasks > team.cpusMax() + Constants.EPS
        || spec.gpus() * concurrentTasks > team.gpusMax() + Constants.EPS) {
      return "exceeds the team's limit";
    }
    return null;
  }

  private void poll(long request, String id) {
    StateCache.Entry<Job> known = cache.jobs.get(id);
    if (known != null && !known.value().open()) {
      answer(request, id);
      return;
    }
    if (!store.loaded()) {
      retryLater(request, 503, "state not loaded yet");
      return;
    }
    store.whenCurrent(
        ok -> {
          if (ok) {
            answer(request, id);
          } else {
            retryLater(request, 503, "the state service does not answer");
          }
        });
  }

  private void abort(long request, String id, int attemptsLeft) {
    StateCache.Entry<Job> known = cache.jobs.get(id);
    if (known != null && !known.value().open()) {
      answer(request, id);
      return;
    }
    if (!store.loaded() || attemptsLeft == 0) {
      retryLater(request, 503, "temporarily unavailable");
      return;
    }
    if (known == null) {
      store.whenCurrent(
          ok -> {
            if (!ok) {
              retryLater(request, 503, "the state service does not answer");
            } else if (cache.jobs.containsKey(id)) {
              abort(request, id, attemptsLeft - 1);
            } else {
              notFound(request);
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
            case CONFLICT -> store.whenCurrent(ok -> abort(request, id, ok ? attemptsLeft - 1 : 0));
            default -> retryLater(request, 503, "the state service does not answer");
          }
        });
  }

  private void answer(long request, String id) {
    StateCache.Entry<Job> entry = cache.jobs.get(id);
    if (entry == null) {
      notFound(request);
      return;
    }
    Job job = entry.value();
    int tasks = job.spec().tasks();
    ObjectNode counts = Json.object();
    if (job.state() == Job.State.DONE) {
      out.answer(request, 200, statusBody(id, "done", counts.put("done", tasks).put("running", 0)));
      return;
    }
    int done = 0;
    int running = 0;
    TreeMap<Integer, StateCache.Entry<Progress>> chunks = cache.progress.get(id);
    if (chunks != null) {
      for (StateCache.Entry<Progress> p : chunks.values()) {
        done += p.value().doneCount();
        for (int i : p.value().live.keySet()) {
          if (!cache.machinesWith(new TaskId(id, i)).isEmpty()) {
            running++;
          }
        }
      }
    }
    String status =
        job.state() == Job.State.CANCELLED ? "cancelled" : running > 0 ? "running" : "pending";
    out.answer(
        request, 200, statusBody(id, status, counts.put("done", done).put("running", running)));
  }

  private static byte[] statusBody(String id, String status, ObjectNode extraFields) {
    ObjectNode body = Json.object().put("id", id).put("status", status);
    if (extraFields != null) {
      body.setAll(extraFields);
    }
    return Json.bytes(body);
  }

  private void notFound(long request) {
    error(request, 404, "no such job");
  }

  private void methodNotAllowed(long request) {
    error(request, 405, "wrong method");
  }

  private void error(long request, int status, String reason) {
    out.answer(request, status, Json.bytes(Json.object().put("error", reason)));
  }

  private void retryLater(long request, int status, String reason) {
    out.answer(
        request, status, Json.bytes(Json.object().put("error", reason)), Constants.RETRY_AFTER_S);
  }
}
