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
 * HTTP client with persistent connections, each carrying one request at a time. Used on the event
 * loop only.
 */
final class HttpClient {
  /** Receives the outcome of a request; the status is as in {@link Outbox.Callback}. */
  interface ResponseCallback {
    void done(int status, byte[] body);
  }

  /** Watch responses and pages of state may be large; the protocol sets no limit for them. */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private static final int MAX_IDLE_PER_ADDRESS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final byte[] NO_BODY = new byte[0];

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
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                  }
                });
  }

  void call(Outbox.Call call, ResponseCallback callback) {
    Deque<Connection> idleConnections = idle.get(call.addr());
    while (idleConnections != null && !idleConnections.isEmpty()) {
      Connection connection = idleConnections.pollLast();
      if (connection.channel.isActive()) {
        connection.send(call, callback);
        return;
      }
    }
    int colon = call.addr().lastIndexOf(':');
    InetSocketAddress address;
    try {
      address =
          new InetSocketAddress(
              call.addr().substring(0, Math.max(0, colon)),
              Integer.parseInt(call.addr().substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      callback.done(Outbox.NOT_SENT, NO_BODY);
      return;
    }
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFuture f) -> {
              if (!f.isSuccess()) {
                callback.done(Outbox.NOT_SENT, NO_BODY);
                return;
              }
              Connection connection = new Connection(call.addr(), f.channel());
              f.channel().pipeline().addLast(connection);
              connection.send(call, callback);
            });
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    final String addr;
    final Channel channel;
    private ResponseCallback pendingCallback;
    private ScheduledFuture<?> timeout;

    Connection(String addr, Channel channel) {
      this.addr = addr;
      this.channel = channel;
    }

    void send(Outbox.Call call, ResponseCallback callback) {
      pendingCallback = callback;
      // Before anything that may fail, so that the callback runs in any case.
      timeout =
          channel
              .eventLoop()
              .schedule(
                  () -> {
                    channel.close();
                    finish(Outbox.NO_ANSWER, NO_BODY);
                  },
                  call.timeoutMs(),
                  TimeUnit.MILLISECONDS);
      byte[] body = call.body() == null ? NO_BODY : call.body();
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method()),
              call.path(),
              Unpooled.wrappedBuffer(body));
      request.headers().set(HttpHeaderNames.HOST, addr);
      if (call.body() != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        HttpUtil.setContentLength(request, body.length);
      }
      channel.writeAndFlush(request);
    }

    private void finish(int status, byte[] body) {
      ResponseCallback callback = pendingCallback;
      if (callback != null) {
        pendingCallback = null;
        timeout.cancel(false);
        callback.done(status, body);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      byte[] body = ByteBufUtil.getBytes(response.content());
      int status =
          response.decoderResult().isFailure() ? Outbox.NO_ANSWER : response.status().code();
      if (HttpUtil.isKeepAlive(response) && pendingCallback != null) {
        Deque<Connection> idleConnections = idle.computeIfAbsent(addr, k -> new ArrayDeque<>());
        if (idleConnections.size() < MAX_IDLE_PER_ADDRESS) {
          idleConnections.add(this);
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
      Deque<Connection> idleConnections = idle.get(addr);
      if (idleConnections != null) {
        idleConnections.remove(this);
        if (idleConnections.isEmpty()) {
          idle.remove(addr);
        }
      }
      finish(Outbox.NO_ANSWER, NO_BODY);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
