package org.baygw.control.standby;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baygw.control.Constants;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Clock;
import org.baygw.control.core.Json;
import org.baygw.control.core.Outbox;
import org.baygw.control.store.Store;

/**
 * Sends this controller's decision logs to its standbys and receives the logs of other controllers.
 * Each peer has at most one message in flight, for all roles for which the peer is the standby.
 */
final class Replicator {
  static final String PATH = "/peer/replication";

  /** The replication traffic to one peer. */
  private static final class Link {
    private final Settings.Peer peer;
    private boolean sending;
    private long lastSent = Long.MIN_VALUE / 2;

    /** Whether decisions that did not fit into the latest message are to be sent at once. */
    private boolean sendMoreAtOnce;

    private final List<RoleUpdate.Release> releases = new ArrayList<>();

    Link(Settings.Peer peer) {
      this.peer = peer;
    }
  }

  private final Clock clock;
  private final Outbox out;
  private final Settings settings;
  private final Features.Standby features;
  private final Store store;
  private final RoleTable roles;
  private final Map<String, Link> links = new TreeMap<>();
  private boolean flushing;
  private long bytesSent;
  private long bytesReceived;
  private long unanswered;

  Replicator(
      Clock clock,
      Outbox out,
      Settings settings,
      Features.Standby features,
      Store store,
      RoleTable roles) {
    this.clock = clock;
    this.out = out;
    this.settings = settings;
    this.features = features;
    this.store = store;
    this.roles = roles;
    settings.peers().forEach(peer -> links.put(peer.label(), new Link(peer)));
  }

  long bytesSent() {
    return bytesSent;
  }

  long bytesReceived() {
    return bytesReceived;
  }

  /** Number of messages without a valid answer in time. */
  long unanswered() {
    return unanswered;
  }

  /** Sets whether pending decisions are sent without waiting for the batch interval. */
  void setFlushing(boolean enabled) {
    flushing = enabled;
  }

  /** Queues the release of a role by this controller for sending to the standby. */
  void queueRelease(String standby, RoleUpdate.Release release) {
    Link link = links.get(standby);
    if (link != null) {
      link.releases.add(release);
    }
  }

  void tick() {
    Map<String, List<ReplicationStream>> streams = new HashMap<>();
    for (RoleEntry entry : roles.entries()) {
      if (entry.stream != null) {
        streams.computeIfAbsent(entry.stream.standby(), k -> new ArrayList<>()).add(entry.stream);
      }
    }
    for (Link link : links.values()) {
      List<ReplicationStream> linkStreams = streams.getOrDefault(link.peer.label(), List.of());
      if (!link.sending && due(link, linkStreams)) {
        send(link, linkStreams);
      }
    }
  }

  private boolean due(Link link, List<ReplicationStream> streams) {
    if (!link.releases.isEmpty()) {
      return true;
    }
    if (streams.isEmpty()) {
      return false;
    }
    long sinceSentMs = clock.now() - link.lastSent;
    boolean behind = streams.stream().anyMatch(stream -> !stream.upToDate());
    return sinceSentMs >= features.heartbeatMs()
        || behind && (sinceSentMs >= features.batchMs() || link.sendMoreAtOnce || flushing);
  }

  private void send(Link link, List<ReplicationStream> streams) {
    List<RoleUpdate> updates = new ArrayList<>(link.releases);
    boolean heartbeat = clock.now() - link.lastSent >= features.heartbeatMs();
    int remainingBytes = Constants.REPLICATION_MESSAGE_BYTES;
    for (ReplicationStream stream : streams) {
      if (remainingBytes > 0 && (heartbeat || !stream.upToDate())) {
        RoleUpdate update = stream.nextUpdate(remainingBytes);
        updates.add(update);
        remainingBytes -= maxSize(update);
      }
    }
    byte[] body =
        ReplicationCodec.encode(new ReplicationMessage(settings.label(), List.copyOf(updates)));
    bytesSent += body.length;
    link.sending = true;
    link.sendMoreAtOnce = false;
    link.lastSent = clock.now();
    List<RoleUpdate.Release> releases = List.copyOf(link.releases);
    out.call(
        link.peer.addr(),
        "POST",
        PATH,
        body,
        Constants.REPLICATION_TIMEOUT_MS,
        (status, answer) -> onAnswer(link, releases, status, answer));
  }

  private static int maxSize(RoleUpdate update) {
    if (update instanceof RoleUpdate.LogUpdate log) {
      return log.decisions().stream().mapToInt(DecisionCodec::maxSize).sum();
    } else if (update instanceof RoleUpdate.SnapshotPart part) {
      return part.decisions().stream().mapToInt(DecisionCodec::maxSize).sum();
    }
    return 0;
  }

  private void onAnswer(Link link, List<RoleUpdate.Release> releases, int status, byte[] body) {
    link.sending = false;
    // A release is a hint that is sent once: the role is free only once its claim is deleted.
    link.releases.removeAll(releases);
    ReplicationMessage.Answer answer = null;
    try {
      answer = status == 200 ? ReplicationCodec.decodeAnswer(body) : null;
    } catch (IOException | RuntimeException e) {
      // An answer that cannot be decoded acknowledges nothing.
    }
    if (answer == null || !answer.sender().equals(link.peer.label())) {
      unanswered++;
      return;
    }
    for (RoleAck ack : answer.acks()) {
      acknowledge(link, ack);
    }
  }

  private void acknowledge(Link link, RoleAck ack) {
    RoleEntry entry = roles.entry(ack.role());
    ReplicationStream stream = entry == null ? null : entry.stream;
    if (stream != null && stream.standby().equals(link.peer.label())) {
      // Only decisions that did not fit into the message are sent at once; new ones are batched.
      link.sendMoreAtOnce |= stream.acknowledge(ack);
    }
  }

  /** Applies a peer's message and answers with what this controller has applied. */
  void receive(long request, byte[] body) {
    ReplicationMessage message;
    try {
      message = ReplicationCodec.decode(body);
    } catch (IOException | RuntimeException e) {
      message = null;
    }
    if (message == null || !links.containsKey(message.sender())) {
      out.answer(
          request, 400, Json.bytes(Json.object().put("error", "not a valid replication message")));
      return;
    }
    bytesReceived += body.length;
    List<RoleAck> acks = new ArrayList<>();
    for (RoleUpdate update : message.updates()) {
      acks.add(receive(update));
    }
    byte[] answer = ReplicationCodec.encode(new ReplicationMessage.Answer(settings.label(), acks));
    out.answer(request, 200, answer);
  }

  private RoleAck receive(RoleUpdate update) {
    RoleEntry entry = roles.entry(update.role());
    if (entry == null) {
      return new RoleAck(update.role(), 0, RoleAck.NEEDS_SNAPSHOT, 0);
    }
    if (entry.active() && entry.log.epoch() >= update.epoch()) {
      roles.counters().outdated++;
      return new RoleAck(update.role(), entry.log.epoch(), RoleAck.NEEDS_SNAPSHOT, 0);
    }
    if (update instanceof RoleUpdate.Release) {
      store.refresh(); // to see the claim's deletion, without which the role cannot be claimed
    }
    return roles.replica(entry).receive(update, clock.now());
  }
}
