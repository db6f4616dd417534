package shorecrank.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import shorecrank.config.NodeConfig.Address;

/** An HTTP server on one address; every request is handed on with a place for its answer. */
final class HttpServer {
  /** Takes requests; the exchange is answered once, now or later, on the event loop. */
  interface Handler {
    void request(Exchange exchange, String method, String path, byte[] body);
  }

  /** Of users and workers, as the protocol has it. */
  static final int MAX_BODY = 64 * 1024;

  /** Of other controllers: a message may be about all machines. */
  static final int MAX_PEER_BODY = 512 * 1024;

  /** Also answered in a crowd: a controller that is full is not a dead one. */
  private static final String HEALTH = "/healthz";

  /** Connections beyond the limit that are still told so, as a share of it. */
  private static final double CROWD = 0.06;

  private final int maxOpen;
  private final int idleS;
  private final int maxBody;
  private final Handler handler;
  private int open;

  /**
   * @param maxOpen beyond so many connections requests are answered 503, beyond some more none are
   * @param idleS a connection on which nothing moves for so long is closed: its other end may be
   *     gone, and it counts all the same
   */
  HttpServer(int maxOpen, int idleS, int maxBody, Handler handler) {
    this.maxOpen = maxOpen;
    this.idleS = idleS;
    this.maxBody = maxBody;
    this.handler = handler;
  }

  int open() {
    return open;
  }

  void bind(EventLoopGroup group, Address at) throws InterruptedException {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        // All may want to connect at one moment.
        .option(ChannelOption.SO_BACKLOG, maxOpen)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                if (open >= maxOpen * (1 + CROWD)) {
                  ch.close();
                  return;
                }
                boolean crowded = open >= maxOpen;
                open++;
                ch.closeFuture().addListener(f -> open--);
                ch.pipeline()
                    .addLast(new IdleStateHandler(0, 0, idleS, TimeUnit.SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(maxBody, true))
                    .addLast(new Connection(crowded));
              }
            })
        .bind(at.host(), at.port())
        .sync();
  }

  /** Where one request's answer goes. */
  static final class Exchange {
    private final ChannelHandlerContext ctx;
    private final boolean keepAlive;

    Exchange(ChannelHandlerContext ctx, boolean keepAlive) {
      this.ctx = ctx;
      this.keepAlive = keepAlive;
    }

    void answer(int status, String type, byte[] body, int retryAfterS) {
      ByteBuf content = Unpooled.wrappedBuffer(body);
      DefaultFullHttpResponse r =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
      r.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
      HttpUtil.setContentLength(r, body.length);
      if (retryAfterS > 0) {
        r.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
      }
      HttpUtil.setKeepAlive(r, keepAlive);
      var f = ctx.writeAndFlush(r);
      if (!keepAlive) {
        f.addListener(ChannelFutureListener.CLOSE);
      }
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final boolean crowded;

    Connection(boolean crowded) {
      this.crowded = crowded;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
      Exchange e = new Exchange(ctx, HttpUtil.isKeepAlive(r));
      if (!r.decoderResult().isSuccess()) {
        new Exchange(ctx, false)
            .answer(400, "application/json", "{\"error\":\"malformed request\"}".getBytes(), 0);
        return;
      }
      if (crowded && !r.uri().equals(HEALTH)) {
        new Exchange(ctx, false)
            .answer(503, "application/json", "{\"error\":\"too many connections\"}".getBytes(), 2);
        return;
      }
      handler.request(e, r.method().name(), r.uri(), ByteBufUtil.getBytes(r.content()));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object evt) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
