package org.baygw.control.workers;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.model.Machine;
import org.baygw.control.model.TaskId;

/** What a partition's owner knows of one worker, in memory only and for one claim only. */
final class WorkerSession {
  /** A launch that may still take effect. */
  static final class Flight {
    /** Highest token of a direct launch without an answer; 0: none. */
    long directToken;

    /** Tick of the report whose response carried the launch; 0: none. */
    long replyTick;

    boolean over() {
      return directToken == 0 && replyTick == 0;
    }
  }

  final String name;
  final long claim;
  final long since;
  int raises;
  String addr = "";
  long session;

  /** The session that a former owner knew of, until this owner has asked; 0: none. */
  long expectedSession;

  /** This owner is showing the worker its token for the first time. */
  boolean introducing;

  long tick;
  long seenToken;
  long lastHeard;
  long lastAnswered;
  long noticeUntil;
  Map<TaskId, WorkerCodec.Seen> seen = new LinkedHashMap<>();
  final Map<TaskId, Flight> flights = new HashMap<>();

  /** When this owner launched what is on the machine; tasks it did not launch have no known age. */
  final Map<TaskId, Long> launched = new HashMap<>();

  final Map<TaskId, Long> killed = new HashMap<>();

  /** Tasks that failed here since one last completed, by job. */
  final Map<String, Integer> failures = new HashMap<>();

  boolean sick;

  /**
   * What its partition's record is to say of the machine; null as long as this owner has not
   * looked.
   */
  Machine.Condition condition;

  /** A change of this machine's own record is under way. */
  boolean busy;

  boolean directBusy;

  /** A question to the worker is under way, or was not answered since it was last heard. */
  boolean asking;

  boolean unanswered;
  long nextAsk;
  boolean leaseOver;

  /** Highest token that an answer of ours carried, and reports in a row that did not show it. */
  long answeredToken;

  int unheeded;
  long lastUnheeded;

  WorkerSession(String name, long claim, long now) {
    this.name = name;
    this.claim = claim;
    this.since = now;
  }

  /** Grows with the claim and, within a claim, with every raise. */
  long token() {
    return claim << Constants.TOKEN_BITS | raises;
  }

  /** Whether the worker takes commands from this claim only, so that nobody else's can count. */
  boolean trusted() {
    return seenToken >= claim << Constants.TOKEN_BITS;
  }

  boolean newer(long s, long t) {
    return s > session || s == session && t > tick;
  }

  /**
   * Counts the signs that our answers do not reach a worker whose reports reach us: it does not
   * show the token that they carried, it reports again after it did not answer when asked, or its
   * sessions end though they were answered in time. Now and then one is lost, so they count
   * together only within a few leases, and a higher token shown ends the count.
   */
  void heed(WorkerCodec.Report r, long now, long leaseMs) {
    boolean ended = session > 0 && r.session() > session && now - lastAnswered < leaseMs;
    if (r.token() > seenToken || now - lastUnheeded > Constants.DEAF_LEASES * leaseMs) {
      unheeded = 0;
    }
    if (ended || unanswered || r.token() < answeredToken) {
      unheeded++;
      lastUnheeded = now;
    }
  }

  boolean deaf() {
    return unheeded >= Constants.DEAF_REPORTS;
  }

  Flight flight(TaskId t) {
    return flights.computeIfAbsent(t, k -> new Flight());
  }

  /**
   * A late launch must never find its worker after the task went elsewhere: a flight ends only when
   * the worker can no longer carry it out.
   */
  void endFlights(boolean checkin) {
    flights
        .values()
        .removeIf(
            f -> {
              if (f.directToken != 0 && seenToken > f.directToken) {
                f.directToken = 0; // the worker now refuses that token
              }
              if (checkin && f.replyTick != 0 && tick > f.replyTick) {
                f.replyTick = 0; // it reports again only after it took or dropped that response
              }
              return f.over();
            });
  }
}
