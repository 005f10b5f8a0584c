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
import org.baygw.control.Constants;
import org.baygw.control.Controller;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Outbox;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries inputs to the core and its effects to the network, on one event loop. */
public final class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  private static final byte[] NO_BODY = new byte[0];
  private static final byte[] MALFORMED =
      "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8);

  /** Where an answer goes. */
  private record Pending(Channel channel, boolean keepAlive) {}

  private final Settings settings;
  private final Controller core;
  private final EventLoopGroup loop;
  private final HttpClient client;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long requests;
  private boolean stepDue;
  private long lastStep;

  public EventLoop(Settings settings, Features features) {
    this.settings = settings;
    this.core = new Controller(settings, features);
    this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.client = new HttpClient(loop);
  }

  /** Listens and runs; returns once the socket for users and workers is open. */
  public void start() throws InterruptedException {
    bind(settings.listen(), core::request);
    bind(settings.peerListen(), core::peerRequest);
    loop.next().execute(this::tick);
  }

  /**
   * Has the core take a step if none was taken for a while, and comes again when the next is due.
   */
  private void tick() {
    if (now() - lastStep >= settings.tickMs()) {
      step();
    }
    long left = Math.max(1, lastStep + settings.tickMs() - now());
    loop.next().schedule(this::tick, left, TimeUnit.MILLISECONDS);
  }

  private void step() {
    stepDue = false;
    lastStep = now();
    handle(core::tick);
  }

  /** The core takes a step once all that has come by now is read: one for many inputs. */
  private void stepSoon() {
    if (!stepDue) {
      stepDue = true;
      loop.next().execute(this::stepIfDue);
    }
  }

  private void stepIfDue() {
    if (stepDue) {
      step();
    }
  }

  /** Ends the event loop and waits for it, so that nothing runs when the program ends. */
  public void stop() {
    loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /**
   * Hands all roles over and ends the event loop; returns when that is done, or cannot be had in
   * time.
   */
  public void stopInOrder() throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(1);
    loop.next().execute(() -> safely(core::beginShutdown));
    var looks =
        loop.next()
            .scheduleAtFixedRate(
                () -> {
                  if (core.readyToStop()) {
                    ended.countDown();
                  }
                },
                0,
                Constants.TICK_MS,
                TimeUnit.MILLISECONDS);
    if (!ended.await(Constants.HANDOVER_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      LOG.warn("roles were not handed over in time: their leases run out");
    }
    looks.cancel(false);
    stop();
  }

  /** Where the core takes requests of one socket. */
  private interface Entry {
    List<Outbox.Effect> request(
        long nowMs, long wallMs, long id, String method, String path, byte[] body);
  }

  private void bind(Settings.Endpoint at, Entry entry) throws InterruptedException {
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
                    .addLast(new Requests(entry));
              }
            })
        .bind(at.host(), at.port())
        .sync();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static long wall() {
    return System.currentTimeMillis();
  }

  /** A fault in one input must not end the controller; the next input finds durable state. */
  private void safely(Runnable r) {
    try {
      r.run();
    } catch (RuntimeException e) {
      LOG.error("an input failed", e);
    }
  }

  /** Something that the core is to handle. */
  private interface Input {
    List<Outbox.Effect> handle(long nowMs, long wallMs);
  }

  /** Has the core handle an input and carries out what it decides. */
  private void handle(Input input) {
    safely(
        () -> {
          long decidedAt = now();
          emit(input.handle(decidedAt, wall()), decidedAt);
        });
  }

  private void emit(List<Outbox.Effect> effects, long decidedAt) {
    for (Outbox.Effect effect : effects) {
      if (effect instanceof Outbox.Call call) {
        if (call.carriesOrders() && core.withholdsOrders(decidedAt, now())) {
          loop.next().execute(() -> finish(call, Outbox.NOT_SENT, NO_BODY));
        } else {
          client.call(call, (status, body) -> finish(call, status, body));
        }
      } else if (effect instanceof Outbox.Answer answer) {
        boolean withheld = answer.carriesOrders() && core.withholdsOrders(decidedAt, now());
        answer(withheld ? Outbox.Answer.withheld(answer.requestId()) : answer);
      }
    }
  }

  private void finish(Outbox.Call call, int status, byte[] body) {
    handle((nowMs, wallMs) -> core.outcome(nowMs, wallMs, call.callback(), status, body));
    stepSoon();
  }

  private void answer(Outbox.Answer a) {
    Pending p = pending.remove(a.requestId());
    if (p == null || !p.channel().isActive()) {
      return;
    }
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(a.status()),
            Unpooled.wrappedBuffer(a.body()));
    r.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    HttpUtil.setContentLength(r, a.body().length);
    if (a.retryAfterS() > 0) {
      r.headers().setInt(HttpHeaderNames.RETRY_AFTER, a.retryAfterS());
    }
    if (!p.keepAlive()) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var written = p.channel().writeAndFlush(r);
    if (!p.keepAlive()) {
      written.addListener(f -> p.channel().close());
    }
  }

  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Entry entry;

    Requests(Entry entry) {
      this.entry = entry;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
      long id = ++requests;
      pending.put(id, new Pending(ctx.channel(), HttpUtil.isKeepAlive(r)));
      ByteBuf content = r.content();
      byte[] body = ByteBufUtil.getBytes(content);
      String uri = r.uri();
      int query = uri.indexOf('?');
      String path = query < 0 ? uri : uri.substring(0, query);
      if (r.decoderResult().isFailure() || body.length > Constants.MAX_BODY_BYTES) {
        answer(new Outbox.Answer(id, 400, MALFORMED, 0, false));
        return;
      }
      handle((nowMs, wallMs) -> entry.request(nowMs, wallMs, id, r.method().name(), path, body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      pending.values().removeIf(p -> p.channel() == ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("a connection failed: {}", cause.toString());
      ctx.close();
    }
  }
}
