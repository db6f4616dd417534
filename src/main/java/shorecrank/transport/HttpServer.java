package shorecrank.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ByteProcessor;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import shorecrank.config.NodeConfig.Address;
import shorecrank.protocol.Json;
import shorecrank.transport.RequestAssembler.Assembled;
import shorecrank.transport.UnfinishedRequests.Reason;

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

  /** Observes connections and requests that are not served. */
  interface ConnectionEvents {
    /** Called when a connection is closed at once, or a request is refused because of the limit. */
    void onRefused(boolean isClosed);

    /**
     * Called when an unfinished request is given up.
     *
     * @param address the address of its sender
     * @param bytes how many bytes of it were received
     * @param ageMs the time since its first byte
     */
    void onGivenUp(Reason reason, SocketAddress address, long bytes, long ageMs);

    /**
     * Called when a connection is closed because a request arrived before the answer to the one
     * before it had been sent, which the protocol rules out.
     */
    void onPipelined(SocketAddress address);

    /** Called when a connection is closed because reading from it or writing to it has failed. */
    void onFailed(SocketAddress address, Throwable cause);
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

  /** The status of the answer to a request that is not HTTP. */
  static final int MALFORMED = 400;

  private static final int MIN_READ_BYTES = 512;
  private static final int MAX_READ_BYTES = 64 * 1024;

  /**
   * How many connections are accepted before it is the turn of those that are open. With few, a new
   * connection would wait for all that is sent on those that were accepted before it.
   */
  private static final int ACCEPTS_PER_TURN = 1024;

  /** How often a connection is read before it is the turn of the next one. */
  private static final int READS_PER_TURN = 1;

  /** The memory of all connections' read buffers, unless there are very many connections. */
  private static final int MAX_READ_BUFFERS_BYTES = 8 * 1024 * 1024;

  private static final int UNAVAILABLE = 503;
  private static final int REQUEST_TIMEOUT = 408;
  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final int OVERLOAD_RETRY_AFTER_S = 2;

  private final int maxConnections;
  private final int idleS;
  private final int maxBodyBytes;
  private final UnfinishedRequests unfinished;
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
   * @param unfinished counts what has been received of requests that are not whole
   * @param events observes what is not served
   */
  HttpServer(
      int maxConnections,
      int idleS,
      int maxBodyBytes,
      UnfinishedRequests unfinished,
      ConnectionEvents events,
      RequestHandler handler) {
    this.events = events;
    this.maxConnections = maxConnections;
    this.idleS = idleS;
    this.maxBodyBytes = maxBodyBytes;
    this.unfinished = unfinished;
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
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_TURN))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readBufferSizes())
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

  /**
   * Returns the sizes of the buffers that connections read into. A few bytes of an unfinished
   * request may keep the whole buffer that they were read into, on each connection.
   */
  private RecvByteBufAllocator readBufferSizes() {
    int largest = Math.min(MAX_READ_BYTES, MAX_READ_BUFFERS_BYTES / maxConnections);
    return new AdaptiveRecvByteBufAllocator(
            MIN_READ_BYTES,
            Math.max(MIN_READ_BYTES, largest / 2),
            Math.max(MIN_READ_BYTES, largest))
        .maxMessagesPerRead(READS_PER_TURN);
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
    Connection connection = new Connection(channel, isExcess);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, idleS, TimeUnit.SECONDS))
        .addLast(new ReceivedBytes(connection))
        .addLast(new HttpServerCodec())
        .addLast(new HttpServerExpectContinueHandler())
        .addLast(connection.assembler)
        .addLast(connection);
  }

  /** Sends the reply to one request. */
  static final class Exchange {
    private final Connection connection;
    private final boolean isKeepAlive;

    private Exchange(Connection connection, boolean isKeepAlive) {
      this.connection = connection;
      this.isKeepAlive = isKeepAlive;
    }

    /** Reports whether the client is still connected. */
    boolean isOpen() {
      return connection.channel.isActive();
    }

    /** Closes the connection without a reply, as the client has stopped waiting for one. */
    void abort() {
      connection.channel.close();
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
      ChannelFuture sent = connection.channel.writeAndFlush(response);
      sent.addListener(done -> connection.isAnswerPending = false);
      if (!isKeepAlive) {
        sent.addListener(ChannelFutureListener.CLOSE);
      }
    }

    /** Tells the client to send its request again after some seconds. */
    void refuseForLoad(String reason) {
      replyError(UNAVAILABLE, reason, OVERLOAD_RETRY_AFTER_S);
    }

    private void replyError(int status, String reason, int retryAfterS) {
      reply(status, JSON_CONTENT_TYPE, Json.bytes(Json.error(reason)), retryAfterS);
    }
  }

  /** Counts the bytes that are received on one connection, before they are decoded. */
  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    private final Connection connection;

    ReceivedBytes(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof ByteBuf bytes && !isBlankLine(bytes)) {
        unfinished.onReceived(connection, bytes.readableBytes());
        if (connection.isGivenUp) {
          bytes.release();
          return;
        }
      }
      connection.hasRequestInRead = false;
      context.fireChannelRead(message);
    }

    /** Reports whether the bytes are the empty line that some clients send between requests. */
    private boolean isBlankLine(ByteBuf bytes) {
      return !unfinished.contains(connection)
          && bytes.readableBytes() <= 2
          && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0;
    }
  }

  /**
   * Handles the requests on one connection. Refuses malformed requests, and if the connection is
   * above the limit, all requests except health checks.
   */
  private final class Connection extends SimpleChannelInboundHandler<Assembled>
      implements UnfinishedRequests.Sender {
    private final SocketChannel channel;
    private final boolean isExcess;
    private final RequestAssembler assembler = new RequestAssembler(maxBodyBytes);
    private boolean isWorker;
    private boolean isGivenUp;

    /** Whether a request has been received whose answer has not been sent completely. */
    private boolean isAnswerPending;

    /** Whether the bytes that were read last held the end of a request. */
    private boolean hasRequestInRead;

    /**
     * Creates the handler of a connection.
     *
     * @param isExcess whether the connection is above the limit, so that only health checks are
     *     served on it
     */
    Connection(SocketChannel channel, boolean isExcess) {
      this.channel = channel;
      this.isExcess = isExcess;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Assembled request) {
      unfinished.remove(this);
      if (isAnswerPending || hasRequestInRead) {
        events.onPipelined(channel.remoteAddress());
        channel.close();
        return;
      }
      isAnswerPending = true;
      hasRequestInRead = true;
      String path = request.head().uri();
      boolean isKeepAlive = HttpUtil.isKeepAlive(request.head());
      if (request.refusalStatus() == MALFORMED) {
        refuse(MALFORMED, "malformed request", 0);
      } else if (request.refusalStatus() != 0) {
        new Exchange(this, isKeepAlive).replyError(request.refusalStatus(), "body too large", 0);
      } else if (isExcess && !path.equals(HEALTH_PATH)) {
        refuse(UNAVAILABLE, "too many connections", OVERLOAD_RETRY_AFTER_S);
        events.onRefused(false);
      } else {
        countWorker(path);
        Exchange exchange = new Exchange(this, isKeepAlive);
        handler.handle(exchange, request.head().method().name(), path, request.body());
      }
    }

    private void countWorker(String path) {
      if (!isWorker && path.equals(WORKER_PATH)) {
        isWorker = true;
        workerConnections++;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      unfinished.remove(this);
      assembler.discard();
      if (isWorker) {
        workerConnections--;
      }
    }

    @Override
    public void onGivenUp(Reason reason, long bytes, long ageNanos) {
      isGivenUp = true;
      assembler.discard();
      long ageMs = TimeUnit.NANOSECONDS.toMillis(ageNanos);
      events.onGivenUp(reason, channel.remoteAddress(), bytes, ageMs);
      if (isAnswerPending) {
        channel.close();
      } else if (reason == Reason.TOO_SLOW) {
        refuse(REQUEST_TIMEOUT, "request not received in time", 0);
      } else {
        refuse(UNAVAILABLE, "too many unfinished requests", OVERLOAD_RETRY_AFTER_S);
      }
    }

    private void refuse(int status, String reason, int retryAfterS) {
      new Exchange(this, false).replyError(status, reason, retryAfterS);
    }

    /** Closes the connection, which was idle for {@link #idleS} seconds. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      events.onFailed(channel.remoteAddress(), cause);
      context.close();
    }
  }
}
