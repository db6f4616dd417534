package shorecrank.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import shorecrank.config.NodeConfig.Address;
import shorecrank.protocol.Json;

/** Keeps a bounded number of connections to one address; one request at a time on each. */
final class HttpClientPool {
  /** Status 0: no answer in time, so it is not known whether the request was carried out. */
  interface OnAnswer {
    void answer(int status, JsonNode body);
  }

  private static final int MAX_BODY = 8 * 1024 * 1024;
  private static final int CONNECT_MS = 1500;
  private static final int MAX_WAITING = 256;

  private final EventLoop loop;
  private final Address to;
  private final int maxOpen;
  private final ArrayDeque<Channel> free = new ArrayDeque<>();
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private int open;

  HttpClientPool(EventLoop loop, Address to, int maxOpen) {
    this.loop = loop;
    this.to = to;
    this.maxOpen = maxOpen;
  }

  int open() {
    return open;
  }

  /** Calls under way or waiting for a connection. */
  int pending() {
    return open - free.size() + waiting.size();
  }

  private final class Call {
    final String method;
    final String path;
    final byte[] body;
    OnAnswer then;
    ScheduledFuture<?> timeout;
    Channel channel;

    Call(String method, String path, byte[] body, OnAnswer then) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.then = then;
    }

    void finish(int status, JsonNode answer) {
      if (then == null) {
        return;
      }
      OnAnswer t = then;
      then = null;
      timeout.cancel(false);
      t.answer(status, answer);
    }

    void giveUp() {
      waiting.remove(this);
      if (channel != null) {
        channel.close();
      }
      finish(0, Json.parse(null));
    }
  }

  void call(String method, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    Call c = new Call(method, path, body == null ? null : Json.bytes(body), then);
    c.timeout = loop.schedule(c::giveUp, timeoutMs, TimeUnit.MILLISECONDS);
    Channel ch;
    while ((ch = free.pollLast()) != null) {
      if (ch.isActive()) {
        send(ch, c);
        return;
      }
    }
    if (open < maxOpen) {
      connect(c);
    } else if (waiting.size() < MAX_WAITING) {
      waiting.add(c);
    } else {
      loop.execute(c::giveUp);
    }
  }

  private void connect(Call c) {
    open++;
    ChannelFuture f =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY))
                        .addLast(new Handler());
                  }
                })
            .connect(to.host(), to.port());
    c.channel = f.channel();
    f.addListener(
        done -> {
          if (!done.isSuccess()) {
            closed();
            c.finish(0, Json.parse(null));
          } else {
            f.channel().closeFuture().addListener(x -> closed());
            if (c.then == null) {
              f.channel().close();
            } else {
              send(f.channel(), c);
            }
          }
        });
  }

  /** Closes what is open and idle. */
  void close() {
    Channel ch;
    while ((ch = free.pollLast()) != null) {
      ch.close();
    }
  }

  private void closed() {
    open--;
    Call next = waiting.poll();
    if (next != null) {
      connect(next);
    }
  }

  private void send(Channel ch, Call c) {
    c.channel = ch;
    ch.pipeline().get(Handler.class).current = c;
    DefaultFullHttpRequest r =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(c.method),
            c.path,
            c.body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(c.body));
    r.headers().set(HttpHeaderNames.HOST, to.toString());
    if (c.body != null) {
      r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    if (c.body != null || !c.method.equals("GET")) {
      HttpUtil.setContentLength(r, c.body == null ? 0 : c.body.length);
    }
    ch.writeAndFlush(r);
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
    Call current;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
      Call c = current;
      current = null;
      byte[] body = ByteBufUtil.getBytes(r.content());
      if (!HttpUtil.isKeepAlive(r)) {
        ctx.close();
      } else if (c != null && !waiting.isEmpty()) {
        send(ctx.channel(), waiting.poll());
      } else {
        free.add(ctx.channel());
      }
      if (c != null) {
        c.finish(r.status().code(), Json.parse(body));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      free.remove(ctx.channel());
      Call c = current;
      current = null;
      if (c != null) {
        c.finish(0, Json.parse(null));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
