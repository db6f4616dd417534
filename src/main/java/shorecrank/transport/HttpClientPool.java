package shorecrank.transport;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CONFLICT;
import static shorecrank.protocol.HttpStatus.MISDIRECTED;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;

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
import shorecrank.protocol.MalformedMessageException;

/**
 * Sends HTTP requests to one address over a limited number of connections. A connection carries one
 * request at a time. While all connections are in use, further calls wait.
 */
final class HttpClientPool {
  /** Handles the response to a call. */
  interface ResponseHandler {
    /**
     * Handles the response, or the lack of one.
     *
     * @param status the HTTP status, or {@link #NO_RESPONSE} if no response that can be read came
     *     within the timeout, so that it is unknown whether the request was carried out
     * @param body the parsed body, or a missing node if there is none, or if it is not JSON and the
     *     status tells all
     */
    void handle(int status, JsonNode body);
  }

  /** Observes responses whose body is not JSON. */
  @FunctionalInterface
  interface UnreadableHandler {
    /** Called with the status and the length of the body before the call is finished. */
    void onUnreadable(int status, int bytes, MalformedMessageException reason);
  }

  /** The status that stands for a call without a response. */
  static final int NO_RESPONSE = 0;

  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 1500;
  private static final int MAX_WAITING_CALLS = 256;

  private final EventLoop loop;
  private final Address address;
  private final int maxConnections;
  private final UnreadableHandler unreadableHandler;
  private final ArrayDeque<Channel> idleChannels = new ArrayDeque<>();
  private final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();
  private int openConnections;

  HttpClientPool(
      EventLoop loop, Address address, int maxConnections, UnreadableHandler unreadableHandler) {
    this.unreadableHandler = unreadableHandler;
    this.loop = loop;
    this.address = address;
    this.maxConnections = maxConnections;
  }

  /** Returns the number of connections that are open or being opened. */
  int openConnections() {
    return openConnections;
  }

  /** Returns the number of calls that are in progress or waiting for a connection. */
  int pendingCalls() {
    return openConnections - idleChannels.size() + waitingCalls.size();
  }

  /** A call whose response has not been handled yet. */
  private final class Call {
    private final String method;
    private final String path;
    private final byte[] body;
    private final ScheduledFuture<?> timeout;

    /** Handles the response; null once the response has been passed to this handler. */
    private ResponseHandler handler;

    /** The connection of this call; null while the call waits for one. */
    private Channel channel;

    Call(String method, String path, byte[] body, int timeoutMs, ResponseHandler handler) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
      this.timeout = loop.schedule(this::abort, timeoutMs, TimeUnit.MILLISECONDS);
    }

    private boolean isFinished() {
      return handler == null;
    }

    private void finish(int status, JsonNode response) {
      if (isFinished()) {
        return;
      }
      ResponseHandler pendingHandler = handler;
      handler = null;
      timeout.cancel(false);
      pendingHandler.handle(status, response);
    }

    private void finishWithoutResponse() {
      finish(NO_RESPONSE, Json.missing());
    }

    /** Finishes the call with a response whose body may be empty or not JSON. */
    private void finishWithBody(int status, byte[] body) {
      JsonNode response = Json.missing();
      int handledStatus = status;
      if (body.length > 0) {
        try {
          response = Json.read(body);
        } catch (MalformedMessageException e) {
          unreadableHandler.onUnreadable(status, body.length, e);
          handledStatus = isBodyNeeded(status) ? NO_RESPONSE : status;
        }
      }
      finish(handledStatus, response);
    }

    private void abort() {
      waitingCalls.remove(this);
      if (channel != null) {
        channel.close();
      }
      finishWithoutResponse();
    }

    private DefaultFullHttpRequest request() {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(method),
              path,
              body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
      request.headers().set(HttpHeaderNames.HOST, address.toString());
      if (body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      if (body != null || !method.equals("GET")) {
        HttpUtil.setContentLength(request, body == null ? 0 : body.length);
      }
      return request;
    }
  }

  /**
   * Sends a request. Without a free connection the call waits for one; if too many calls wait
   * already, the handler gets {@link #NO_RESPONSE}.
   *
   * @param body the body, or null to send none
   * @param handler called exactly once, on the event loop, after this method has returned
   */
  void call(String method, String path, JsonNode body, int timeoutMs, ResponseHandler handler) {
    byte[] bytes = body == null ? null : Json.bytes(body);
    Call call = new Call(method, path, bytes, timeoutMs, handler);
    for (Channel channel = idleChannels.pollLast();
        channel != null;
        channel = idleChannels.pollLast()) {
      if (channel.isActive()) {
        send(channel, call);
        return;
      }
    }
    if (openConnections < maxConnections) {
      connect(call);
    } else if (waitingCalls.size() < MAX_WAITING_CALLS) {
      waitingCalls.add(call);
    } else {
      loop.execute(call::abort);
    }
  }

  private void connect(Call call) {
    openConnections++;
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
            .handler(
                new ChannelInitializer<NioSocketChannel>() {
                  @Override
                  protected void initChannel(NioSocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new Connection());
                  }
                })
            .connect(address.host(), address.port());
    Channel channel = connected.channel();
    call.channel = channel;
    connected.addListener(
        done -> {
          if (!done.isSuccess()) {
            onClosed();
            call.finishWithoutResponse();
            return;
          }
          channel.closeFuture().addListener(closed -> onClosed());
          if (call.isFinished()) {
            channel.close();
          } else {
            send(channel, call);
          }
        });
  }

  /**
   * Reports whether a response of the status is of use only with its body. The other statuses, such
   * as 503, tell by themselves what became of the request.
   */
  private static boolean isBodyNeeded(int status) {
    return status < BAD_REQUEST
        || status == NOT_FOUND
        || status == CONFLICT
        || status == MISDIRECTED;
  }

  /** Closes the idle connections. */
  void close() {
    for (Channel channel = idleChannels.pollLast();
        channel != null;
        channel = idleChannels.pollLast()) {
      channel.close();
    }
  }

  private void onClosed() {
    openConnections--;
    Call next = waitingCalls.poll();
    if (next != null) {
      connect(next);
    }
  }

  private void send(Channel channel, Call call) {
    call.channel = channel;
    channel.pipeline().get(Connection.class).current = call;
    channel.writeAndFlush(call.request());
  }

  /** Handles the responses on one connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** The call in progress on this connection; null while the connection is idle. */
    private Call current;

    /**
     * Passes the response to its call. Before that, the connection is given to the next waiting
     * call or becomes idle, so that calls made by the handler of the response can use it.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Call call = current;
      current = null;
      byte[] body = ByteBufUtil.getBytes(response.content());
      if (!HttpUtil.isKeepAlive(response)) {
        context.close();
      } else if (call != null && !waitingCalls.isEmpty()) {
        send(context.channel(), waitingCalls.poll());
      } else {
        idleChannels.add(context.channel());
      }
      if (call != null) {
        call.finishWithBody(response.status().code(), body);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idleChannels.remove(context.channel());
      Call call = current;
      current = null;
      if (call != null) {
        call.finishWithoutResponse();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
