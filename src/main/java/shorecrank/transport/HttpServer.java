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

/** An HTTP server on one address. It passes each request to a handler, which replies to it. */
final class HttpServer {
  /** Handles requests. */
  interface RequestHandler {
    /**
     * Handles a request that has been received completely.
     *
     * @param exchange takes the reply, which is sent exactly once on the event loop, by this method
     *     or later
     * @param path the path with the query string, if there is one
     * @param body the received bytes; empty if there is no body
     */
    void handle(Exchange exchange, String method, String path, byte[] body);
  }

  /** Observes connections that are not served because there are too many. */
  @FunctionalInterface
  interface ConnectionEvents {
    /** Called when a connection is closed at once, or a request is refused because of the limit. */
    void onRefused(boolean isClosed);
  }

  /** The maximum body size of requests from users and workers, as defined by the protocol. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** The maximum body size of requests from controllers, whose messages may list all machines. */
  static final int MAX_PEER_BODY_BYTES = 512 * 1024;

  /**
   * The path that is also served on connections above the limit, so that health checks do not take
   * a controller with too many connections for a dead one.
   */
  private static final String HEALTH_PATH = "/healthz";

  private static final String WORKER_PATH = "/v1/report";

  /**
   * The number of connections accepted beyond {@code maxConnections}, as a fraction of it. Requests
   * on them, except health checks, are answered with status 503. Further connections are closed at
   * once.
   */
  private static final double EXCESS_FRACTION = 0.06;

  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final int OVERLOAD_RETRY_AFTER_S = 2;

  private final int maxConnections;
  private final int idleS;
  private final int maxBodyBytes;
  private final RequestHandler handler;
  private final ConnectionEvents events;
  private int openConnections;
  private int workerConnections;

  /**
   * Creates a server that is not bound to an address yet.
   *
   * @param maxConnections the limit on connections. Requests on connections above the limit are
   *     answered with status 503, and if {@link #EXCESS_FRACTION} is exceeded as well, further
   *     connections are closed at once
   * @param idleS the time in seconds after which a connection without traffic is closed, as the
   *     client may be gone while the connection still counts towards the limit
   * @param maxBodyBytes the maximum size of a request's body
   * @param events receives what the limit on connections refuses
   */
  HttpServer(
      int maxConnections,
      int idleS,
      int maxBodyBytes,
      ConnectionEvents events,
      RequestHandler handler) {
    this.events = events;
    this.maxConnections = maxConnections;
    this.idleS = idleS;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return openConnections;
  }

  /** Returns the number of open connections on which a worker has sent a heartbeat. */
  int workerConnections() {
    return workerConnections;
  }

  /** Returns the limit on connections. */
  int maxConnections() {
    return maxConnections;
  }

  /** Binds an address; throws an {@code IOException}, undeclared, if it cannot be bound. */
  void bind(EventLoopGroup group, Address address) throws InterruptedException {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        // All clients may connect at the same time.
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
      events.onRefused(true);
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

  /** Sends the reply to one request. */
  static final class Exchange {
    private final ChannelHandlerContext channel;
    private final boolean isKeepAlive;

    Exchange(ChannelHandlerContext channel, boolean isKeepAlive) {
      this.channel = channel;
      this.isKeepAlive = isKeepAlive;
    }

    /** Reports whether the client is still connected. */
    boolean isOpen() {
      return channel.channel().isActive();
    }

    /** Closes the connection without a reply, as the client has stopped waiting for one. */
    void abort() {
      channel.close();
    }

    /**
     * Sends the reply.
     *
     * @param retryAfterS the seconds after which the client should send its request again; 0 to
     *     send no {@code Retry-After} header
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

  /**
   * Handles the requests on one connection. Refuses malformed requests, and if the connection is
   * above the limit, all requests except health checks.
   */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final boolean isExcess;
    private boolean isWorker;

    /**
     * Creates the handler of a connection.
     *
     * @param isExcess whether the connection is above the limit, so that only health checks are
     *     served on it
     */
    Connection(boolean isExcess) {
      this.isExcess = isExcess;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        refuse(channel, 400, "malformed request", 0);
      } else if (isExcess && !request.uri().equals(HEALTH_PATH)) {
        refuse(channel, 503, "too many connections", OVERLOAD_RETRY_AFTER_S);
        events.onRefused(false);
      } else {
        Exchange exchange = new Exchange(channel, HttpUtil.isKeepAlive(request));
        countWorker(request.uri());
        byte[] body = ByteBufUtil.getBytes(request.content());
        handler.handle(exchange, request.method().name(), request.uri(), body);
      }
    }

    private void countWorker(String path) {
      if (!isWorker && path.equals(WORKER_PATH)) {
        isWorker = true;
        workerConnections++;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
      if (isWorker) {
        workerConnections--;
      }
    }

    private void refuse(ChannelHandlerContext channel, int status, String reason, int retryAfterS) {
      new Exchange(channel, false)
          .reply(status, JSON_CONTENT_TYPE, Json.bytes(Json.error(reason)), retryAfterS);
    }

    /** Closes the connection, which was idle for {@link #idleS} seconds. */
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
