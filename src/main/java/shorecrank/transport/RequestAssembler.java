package shorecrank.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;

/**
 * Joins the parts of the requests on one connection. The body is copied out of the buffers that the
 * connection reads into, so that an unfinished request holds little more than its own bytes.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
  private static final int TOO_LARGE = 413;
  private static final byte[] EMPTY = new byte[0];
  private static final int MIN_CAPACITY_BYTES = 256;

  /**
   * A request that has been received to its end.
   *
   * @param head the request line and the headers
   * @param body the body; empty if there is none
   * @param refusalStatus the HTTP status with which the request is refused, as it is too large or
   *     not HTTP; 0 if it is sound
   */
  record Assembled(HttpRequest head, byte[] body, int refusalStatus) {}

  private final int maxBodyBytes;
  private HttpRequest head;
  private byte[] body = EMPTY;
  private int length;

  /** The status with which the current request is refused; 0 as long as it is sound. */
  private int refusalStatus;

  RequestAssembler(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Drops what has been received; a closed connection stays in memory for a while. */
  void discard() {
    body = EMPTY;
    length = 0;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (part.decoderResult().isFailure()) {
      refusalStatus = HttpServer.MALFORMED;
    }
    if (part instanceof HttpContent content) {
      append(content.content());
    }
    if (part instanceof LastHttpContent) {
      finish(context);
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    length = 0;
    refusalStatus = HttpUtil.getContentLength(request, 0L) > maxBodyBytes ? TOO_LARGE : 0;
  }

  /** Adds a part to the body; the parts of a request that is refused are dropped. */
  private void append(ByteBuf part) {
    int newLength = length + part.readableBytes();
    if (refusalStatus == 0 && newLength > maxBodyBytes) {
      refusalStatus = TOO_LARGE;
    }
    if (refusalStatus != 0) {
      body = EMPTY;
      return;
    }
    if (newLength > body.length) {
      int capacity = Math.max(newLength, Math.max(MIN_CAPACITY_BYTES, length + length / 2));
      body = Arrays.copyOf(body, Math.min(capacity, maxBodyBytes));
    }
    part.readBytes(body, length, newLength - length);
    length = newLength;
  }

  private void finish(ChannelHandlerContext context) {
    byte[] whole = EMPTY;
    if (refusalStatus == 0) {
      whole = length == body.length ? body : Arrays.copyOf(body, length);
    }
    discard();
    context.fireChannelRead(new Assembled(head, whole, refusalStatus));
  }
}
