package org.baygw.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.baygw.control.Constants;
import org.baygw.control.Controller;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.FailureCounters;
import org.baygw.control.core.Outbox;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes network and timer inputs to the core and carries out the core's effects, on a
 * single-threaded event loop.
 */
public final class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Time for which a core waits that replaces one in the same process. */
  public static final long CORE_RESTART_DELAY_MS = 1_000;

  private static final byte[] NO_BODY = new byte[0];
  private static final byte[] MALFORMED =
      "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8);

  private static final byte[] REPLACED =
      "{\"error\":\"restarting\"}".getBytes(StandardCharsets.UTF_8);

  /** The connection on which a request is to be answered. */
  private record Pending(Channel channel, boolean keepAlive) {}

  private final Settings settings;
  private final FailureCounters failures = new FailureCounters();
  private final Supplier<Controller> newCore;
  private final EventLoopGroup loop;
  private final HttpClient client;
  private final Map<Long, Pending> pending = new HashMap<>();
  private Controller core;

  /** Time before which the core is not ticked, so that replacements do not follow at once. */
  private long coreStartsAtMs;

  private boolean stopping;
  private long lastRequestId;
  private boolean tickScheduled;
  private long lastTickMs;

  /** Creates the event loop of a controller and its core. */
  public EventLoop(Settings settings, Features features) {
    this(settings, failures -> new Controller(settings, features, failures));
  }

  /**
   * Creates an event loop.
   *
   * @param newCore creates a core, which may replace an earlier one
   */
  EventLoop(Settings settings, Function<FailureCounters, Controller> newCore) {
    this.settings = settings;
    this.newCore = () -> newCore.apply(failures);
    this.core = this.newCore.get();
    this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.client = new HttpClient(loop);
  }

  /** Opens the listening sockets and starts the timer; returns once both sockets are open. */
  public void start() throws InterruptedException {
    bind(
        settings.listen(),
        (nowMs, wallMs, id, method, path, body) ->
            core.request(nowMs, wallMs, id, method, path, body));
    bind(
        settings.peerListen(),
        (nowMs, wallMs, id, method, path, body) ->
            core.peerRequest(nowMs, wallMs, id, method, path, body));
    loop.next().execute(this::onTimer);
  }

  /** Runs a tick of the core if one is due, and schedules itself for when the next one is due. */
  private void onTimer() {
    try {
      if (now() - lastTickMs >= settings.tickMs()) {
        runTick();
      }
    } finally {
      // Also after an error, such as an exhausted stack: without the timer the core would stop.
      long left = Math.max(1, lastTickMs + settings.tickMs() - now());
      loop.next().schedule(this::onTimer, left, TimeUnit.MILLISECONDS);
    }
  }

  private void runTick() {
    tickScheduled = false;
    lastTickMs = now();
    if (lastTickMs >= coreStartsAtMs) {
      handle(core::tick);
    }
  }

  /**
   * Schedules a tick of the core after all inputs that have already arrived, so that many inputs
   * share one tick.
   */
  private void scheduleTick() {
    if (!tickScheduled) {
      tickScheduled = true;
      loop.next().execute(this::runScheduledTick);
    }
  }

  private void runScheduledTick() {
    if (tickScheduled) {
      runTick();
    }
  }

  /**
   * Shuts the event loop down and waits until it has terminated, so that nothing runs when the
   * program exits.
   */
  public void stop() {
    loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /**
   * Hands all roles over and stops the event loop; returns when that is done. If the handover takes
   * too long, the roles become free only when the membership lease expires.
   */
  public void handOverAndStop() throws InterruptedException {
    CountDownLatch readyToStop = new CountDownLatch(1);
    loop.next()
        .execute(
            () -> {
              stopping = true;
              safely(core::beginShutdown);
            });
    var stopCheck =
        loop.next()
            .scheduleAtFixedRate(
                () -> {
                  if (core.readyToStop()) {
                    readyToStop.countDown();
                  }
                },
                0,
                Constants.TICK_MS,
                TimeUnit.MILLISECONDS);
    if (!readyToStop.await(Constants.HANDOVER_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      LOG.warn(
          "roles were not handed over in time: they become free when the membership lease expires");
    }
    stopCheck.cancel(false);
    stop();
  }

  /** The core's handler for the requests of one listening socket. */
  private interface RequestHandler {
    List<Outbox.Effect> request(
        long nowMs, long wallMs, long id, String method, String path, byte[] body);
  }

  private void bind(Settings.Endpoint endpoint, RequestHandler handler)
      throws InterruptedException {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                ch.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(Constants.MAX_BODY_BYTES + 1))
                    .addLast(new ServerHandler(handler));
              }
            })
        .bind(endpoint.host(), endpoint.port())
        .sync();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static long wall() {
    return System.currentTimeMillis();
  }

  /**
   * Runs an action and logs its exceptions: a fault in one input must not stop the controller, and
   * the next input can be handled because all state that must not be lost is durable.
   */
  private void safely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      failures.inputFailed();
      LOG.error("an input failed", e);
    }
  }

  /** An input to the core. */
  private interface Input {
    List<Outbox.Effect> handle(long nowMs, long wallMs);
  }

  /** Passes an input to the core and carries out the effects that the core returns. */
  private void handle(Input input) {
    Controller decider = core;
    safely(
        () -> {
          long decidedAt = now();
          emit(decider, input.handle(decidedAt, wall()), decidedAt);
        });
    if (core.restartReason() != null) {
      replaceCore();
    }
  }

  private void emit(Controller decider, List<Outbox.Effect> effects, long decidedAt) {
    for (Outbox.Effect effect : effects) {
      // One that fails must not keep the others from being carried out.
      safely(() -> emit(decider, effect, decidedAt));
    }
  }

  private void emit(Controller decider, Outbox.Effect effect, long decidedAt) {
    if (effect instanceof Outbox.Call call) {
      if (call.carriesOrders() && decider.withholdsOrders(decidedAt, now())) {
        loop.next().execute(() -> finish(decider, call, Outbox.NOT_SENT, NO_BODY));
      } else {
        client.call(call, (status, body) -> finish(decider, call, status, body));
      }
    } else if (effect instanceof Outbox.Answer answer) {
      boolean withheld = answer.carriesOrders() && decider.withholdsOrders(decidedAt, now());
      answer(withheld ? Outbox.Answer.withheld(answer.requestId()) : answer);
    }
  }

  private void finish(Controller caller, Outbox.Call call, int status, byte[] body) {
    if (caller != core) {
      return; // the core that made the call has been replaced
    }
    handle((nowMs, wallMs) -> core.outcome(nowMs, wallMs, call.callback(), status, body));
    scheduleTick();
  }

  /**
   * Replaces the core by a new one, as if the process had been restarted: what the old one knew
   * cannot be relied on.
   */
  private void replaceCore() {
    LOG.error("replacing the controller's core: {}", core.restartReason());
    failures.coreReplaced();
    core = newCore.get();
    coreStartsAtMs = now() + CORE_RESTART_DELAY_MS;
    if (stopping) {
      safely(core::beginShutdown);
    }
    for (long id : List.copyOf(pending.keySet())) {
      answer(new Outbox.Answer(id, 503, REPLACED, Constants.RETRY_AFTER_S, false));
    }
  }

  private void answer(Outbox.Answer answer) {
    Pending request = pending.remove(answer.requestId());
    if (request == null || !request.channel().isActive()) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    HttpUtil.setContentLength(response, answer.body().length);
    if (answer.retryAfterS() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterS());
    }
    if (!request.keepAlive()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var written = request.channel().writeAndFlush(response);
    if (!request.keepAlive()) {
      written.addListener(f -> request.channel().close());
    }
  }

  private final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final RequestHandler handler;

    ServerHandler(RequestHandler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      long id = ++lastRequestId;
      pending.put(id, new Pending(ctx.channel(), HttpUtil.isKeepAlive(request)));
      ByteBuf content = request.content();
      byte[] body = ByteBufUtil.getBytes(content);
      String uri = request.uri();
      int query = uri.indexOf('?');
      String path = query < 0 ? uri : uri.substring(0, query);
      if (request.decoderResult().isFailure() || body.length > Constants.MAX_BODY_BYTES) {
        answer(new Outbox.Answer(id, 400, MALFORMED, 0, false));
        return;
      }
      handle(
          (nowMs, wallMs) ->
              handler.request(nowMs, wallMs, id, request.method().name(), path, body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      pending.values().removeIf(p -> p.channel() == ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection failed: {}", cause.toString());
      ctx.close();
    }
  }
}
