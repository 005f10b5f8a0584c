package org.baygw.control.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.baygw.control.core.Outbox;

/**
 * Requests to other systems over kept connections, one request at a time on each. Runs on the event
 * loop only.
 */
final class HttpClient {
  /** Gets the outcome. */
  interface Done {
    void done(int status, byte[] body);
  }

  /** State of one watch or page may be large; the protocol sets no limit for them. */
  private static final int MAX_RESPONSE = 16 * 1024 * 1024;

  private static final int MAX_IDLE_PER_ADDRESS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final byte[] NONE = new byte[0];

  private final Map<String, Deque<Connection>> idle = new HashMap<>();
  private final Bootstrap bootstrap;

  HttpClient(EventLoopGroup loop) {
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE));
                  }
                });
  }

  void call(Outbox.Call c, Done done) {
    Deque<Connection> free = idle.get(c.addr());
    while (free != null && !free.isEmpty()) {
      Connection k = free.pollLast();
      if (k.channel.isActive()) {
        k.send(c, done);
        return;
      }
    }
    int colon = c.addr().lastIndexOf(':');
    InetSocketAddress to;
    try {
      to =
          new InetSocketAddress(
              c.addr().substring(0, Math.max(0, colon)),
              Integer.parseInt(c.addr().substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      done.done(Outbox.NOT_SENT, NONE);
      return;
    }
    bootstrap
        .connect(to)
        .addListener(
            (ChannelFuture f) -> {
              if (!f.isSuccess()) {
                done.done(Outbox.NOT_SENT, NONE);
                return;
              }
              Connection k = new Connection(c.addr(), f.channel());
              f.channel().pipeline().addLast(k);
              k.send(c, done);
            });
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    final String addr;
    final Channel channel;
    private Done waiting;
    private ScheduledFuture<?> timeout;

    Connection(String addr, Channel channel) {
      this.addr = addr;
      this.channel = channel;
    }

    void send(Outbox.Call c, Done done) {
      waiting = done;
      byte[] body = c.body() == null ? NONE : c.body();
      DefaultFullHttpRequest r =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(c.method()),
              c.path(),
              Unpooled.wrappedBuffer(body));
      r.headers().set(HttpHeaderNames.HOST, addr);
      if (c.body() != null) {
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        HttpUtil.setContentLength(r, body.length);
      }
      timeout =
          channel
              .eventLoop()
              .schedule(
                  () -> {
                    channel.close();
                    finish(Outbox.NO_ANSWER, NONE);
                  },
                  c.timeoutMs(),
                  TimeUnit.MILLISECONDS);
      channel.writeAndFlush(r);
    }

    private void finish(int status, byte[] body) {
      Done done = waiting;
      if (done != null) {
        waiting = null;
        timeout.cancel(false);
        done.done(status, body);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
      byte[] body = ByteBufUtil.getBytes(r.content());
      int status = r.decoderResult().isFailure() ? Outbox.NO_ANSWER : r.status().code();
      if (HttpUtil.isKeepAlive(r) && waiting != null) {
        Deque<Connection> free = idle.computeIfAbsent(addr, k -> new ArrayDeque<>());
        if (free.size() < MAX_IDLE_PER_ADDRESS) {
          free.add(this);
        } else {
          channel.close();
        }
      } else {
        channel.close();
      }
      finish(status, body);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      Deque<Connection> free = idle.get(addr);
      if (free != null) {
        free.remove(this);
        if (free.isEmpty()) {
          idle.remove(addr);
        }
      }
      finish(Outbox.NO_ANSWER, NONE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
