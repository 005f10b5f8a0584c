package org.baygw.control.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baygw.control.Constants;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.store.StateCache;
import org.baygw.control.store.Store;

/**
 * Exchanges statuses with the other controllers, encoded in Avro. For durable state they are hints
 * only: they tell when to read from the state service again, and whether the service refuses only
 * this controller. They also carry cancellations, since a durable cancellation is final and may be
 * acted on at once. An answer acknowledges that the peer had confirmed no other cancellation to a
 * user when the request was sent.
 */
public final class Peers {
  public static final String PATH = "/peer/status";

  /** The latest status of a peer and the monotonic time of its receipt. */
  private record ReceivedStatus(long receivedAtMs, long stateAgeMs, long revision) {}

  private final Clock clock;
  private final Outbox outbox;
  private final Settings settings;
  private final Store store;
  private final StateCache cache;
  private final Map<String, ReceivedStatus> latestStatus = new HashMap<>();

  /** For each peer, the sending time of the latest request that it acknowledged. */
  private final Map<String, Long> acknowledgedAt = new HashMap<>();

  private final long periodMs;
  private long nextSend;
  private long lastSend = Long.MIN_VALUE / 2;
  private boolean urgent;

  public Peers(Clock clock, Outbox outbox, Settings settings, Store store, StateCache cache) {
    this.clock = clock;
    this.outbox = outbox;
    this.settings = settings;
    this.store = store;
    this.cache = cache;
    // A lease that leaves little time for cancellations requires more frequent acknowledgements.
    this.periodMs = settings.workers().watermarkPeriodMs(Constants.PEER_STATUS_MS);
  }

  public void tick() {
    long now = clock.now();
    boolean due = now >= nextSend || urgent && now >= lastSend + Constants.PEER_STATUS_MIN_GAP_MS;
    if (!store.loaded() || !due) {
      return;
    }
    urgent = false;
    lastSend = now;
    nextSend = now + periodMs;
    for (Settings.Peer peer : settings.peers()) {
      ReceivedStatus last = latestStatus.get(peer.label());
      outbox.call(
          peer.addr(),
          "POST",
          PATH,
          encode(last == null ? cache.revision() : last.revision()),
          periodMs,
          (status, body) -> {
            PeerStatus peerStatus = status == 200 ? apply(body) : null;
            if (peerStatus != null
                && peerStatus.cancellationsComplete()
                && peerStatus.label().equals(peer.label())) {
              // The peer answered after the request was sent and listed every cancellation that it
              // had confirmed by then, so the acknowledgement covers the sending time.
              acknowledgedAt.merge(peer.label(), now, Math::max);
            }
          });
    }
  }

  /** Makes the next tick send a status early, because a cancellation has become durable here. */
  public void announceCancellation() {
    urgent = true;
  }

  /**
   * The time up to which every cancellation that a peer may have confirmed to a user is known here,
   * by the acknowledgements of all peers. A peer that is down, or has not read all keys since it
   * started, does not acknowledge.
   */
  long acknowledgedUntil() {
    long until = clock.now();
    for (Settings.Peer peer : settings.peers()) {
      until = Math.min(until, acknowledgedUntil(peer.label()));
    }
    return until;
  }

  /** The time up to which every cancellation that this peer may have confirmed is known here. */
  long acknowledgedUntil(String peer) {
    return acknowledgedAt.getOrDefault(peer, Long.MIN_VALUE / 2);
  }

  /** Handles a peer's status and answers with this controller's own. */
  public void receive(long requestId, byte[] body) {
    PeerStatus status = apply(body);
    if (status != null) {
      outbox.answer(requestId, 200, encode(status.revision()));
    } else {
      outbox.answer(
          requestId,
          400,
          Json.bytes(Json.object().put("error", "not a valid status of a known controller")));
    }
  }

  /**
   * Whether the state service seems to refuse only this controller: it answered another one
   * noticeably later.
   */
  public boolean isolatedFromStateService() {
    // Compares times of the last answers, not ages: in an outage all controllers were last answered
    // at about the same time, and an old status from just before the outage must not look as if the
    // service refused only this controller.
    for (ReceivedStatus status : latestStatus.values()) {
      if (status.receivedAtMs() - status.stateAgeMs() - store.lastContact()
          > Constants.STATE_ISOLATION_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the state service seems to refuse only the peer: it answered this controller noticeably
   * later.
   */
  boolean peerIsolated(String peer) {
    ReceivedStatus status = latestStatus.get(peer);
    return status != null
        && store.lastContact() - status.receivedAtMs() + status.stateAgeMs()
            > Constants.STATE_ISOLATION_MS;
  }

  /** Decodes a peer's status and applies it; null if the body is not a peer's status. */
  private PeerStatus apply(byte[] body) {
    PeerStatus status;
    try {
      status = PeerStatusCodec.decode(body);
    } catch (IOException | RuntimeException e) {
      return null; // not a status
    }
    if (settings.peers().stream().noneMatch(peer -> peer.label().equals(status.label()))) {
      return null;
    }
    latestStatus.put(
        status.label(), new ReceivedStatus(clock.now(), status.stateAgeMs(), status.revision()));
    for (PeerStatus.Cancellation cancellation : status.cancellations()) {
      cache.addPeerCancellation(
          cancellation.job(), cancellation.stamp(), cancellation.cancelledMs());
    }
    if (status.revision() > cache.revision()) {
      store.refresh();
    }
    return status;
  }

  /** Encodes this controller's status for a peer whose state cache has reached the revision. */
  private byte[] encode(long peerRevision) {
    List<PeerStatus.Cancellation> cancellations = new ArrayList<>();
    cache
        .cancelledAfter(peerRevision)
        .forEach(
            (stamp, jobs) ->
                jobs.forEach(
                    job ->
                        cancellations.add(
                            new PeerStatus.Cancellation(job, stamp, cache.cancelledMs(job)))));
    boolean complete = cancellations.size() <= Constants.CANCELLATIONS_PER_STATUS;
    PeerStatus status =
        new PeerStatus(
            settings.label(),
            cache.revision(),
            Math.max(0, Math.min(clock.now() - store.lastContact(), Integer.MAX_VALUE)),
            store.loaded() && complete,
            complete
                ? cancellations
                : cancellations.subList(0, Constants.CANCELLATIONS_PER_STATUS));
    return PeerStatusCodec.encode(status);
  }
}
