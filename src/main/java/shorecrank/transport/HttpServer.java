package shorecrank.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import shorecrank.protocol.Json;

/** An HTTP server on one address that hands each request on, with an exchange for the reply. */
final class HttpServer {
  /** Takes requests; the exchange is replied to once, now or later, on the event loop. */
  interface RequestHandler {
    /** Takes a request that has been received completely. */
    void handle(Exchange exchange, String method, String path, byte[] body);
  }

  /** Of requests by users and workers, as the protocol has it. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** Of requests by other controllers: a message may hold all machines. */
  static final int MAX_PEER_BODY_BYTES = 512 * 1024;

  /** Answered above the limit too: a controller with too many connections is not a dead one. */
  private static final String HEALTH_PATH = "/healthz";

  /** Connections above the limit that are still answered with an error, as a share of it. */
  private static final double EXCESS_FRACTION = 0.06;

  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final int OVERLOAD_RETRY_AFTER_S = 2;

  private final int maxConnections;
  private final int idleS;
  private final int maxBodyBytes;
  private final RequestHandler handler;
  private int openConnections;

  /**
   * Creates a server that is not bound yet.
   *
   * @param maxConnections on connections above this number requests are answered with 503; far
   *     above it, connections are closed
   * @param idleS seconds after which a connection without traffic is closed: its other end may be
   *     gone, and it counts all the same
   */
  HttpServer(int maxConnections, int idleS, int maxBodyBytes, RequestHandler handler) {
    this.maxConnections = maxConnections;
    this.idleS = idleS;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  /** The number of connections that are open. */
  int openConnections() {
    return openConnections;
  }

  /** Binds the address; fails if it can't be bound. */
  void bind(EventLoopGroup group, Address address) throws InterruptedException {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        // All clients may want to connect at one moment.
        .option(ChannelOption.SO_BACKLOG, maxConnections)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            })
        .bind(address.host(), address.port())
        .sync();
  }

  private void accept(SocketChannel channel) {
    if (openConnections >= maxConnections * (1 + EXCESS_FRACTION)) {
      channel.close();
      return;
    }
    boolean isExcess = openConnections >= maxConnections;
    openConnections++;
    channel.closeFuture().addListener(closed -> openConnections--);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, idleS, TimeUnit.SECONDS))
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(maxBodyBytes, true))
        .addLast(new Connection(isExcess));
  }

  /** The place for the reply to one request. */
  static final class Exchange {
    private final ChannelHandlerContext channel;
    private final boolean isKeepAlive;

    Exchange(ChannelHandlerContext channel, boolean isKeepAlive) {
      this.channel = channel;
      this.isKeepAlive = isKeepAlive;
    }

    /**
     * Sends the reply.
     *
     * @param retryAfterS seconds after which the client should ask again; 0 to say nothing of it
     */
    void reply(int status, String contentType, byte[] body, int retryAfterS) {
      ByteBuf content = Unpooled.wrappedBuffer(body);
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
      HttpUtil.setContentLength(response, body.length);
      if (retryAfterS > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
      }
      HttpUtil.setKeepAlive(response, isKeepAlive);
      ChannelFuture sent = channel.writeAndFlush(response);
      if (!isKeepAlive) {
        sent.addListener(ChannelFutureListener.CLOSE);
      }
    }
  }

  /** One connection; a request on it is refused if it is malformed or there are too many. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final boolean isExcess;

    Connection(boolean isExcess) {
      this.isExcess = isExcess;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        refuse(channel, 400, "malformed request", 0);
      } else if (isExcess && !request.uri().equals(HEALTH_PATH)) {
        refuse(channel, 503, "too many connections", OVERLOAD_RETRY_AFTER_S);
      } else {
        Exchange exchange = new Exchange(channel, HttpUtil.isKeepAlive(request));
        byte[] body = ByteBufUtil.getBytes(request.content());
        handler.handle(exchange, request.method().name(), request.uri(), body);
      }
    }

    private void refuse(ChannelHandlerContext channel, int status, String reason, int retryAfterS) {
      new Exchange(channel, false)
          .reply(status, JSON_CONTENT_TYPE, Json.bytes(Json.error(reason)), retryAfterS);
    }

    /** The connection was idle for too long. */
    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) {
      channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
      channel.close();
    }
  }
}
