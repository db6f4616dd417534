package shorecrank.transport;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates all buffers of a connection on the heap. Direct memory, which is small, is then used
 * only while bytes are copied from or to a socket, whatever connections leave unread or unfinished.
 */
final class HeapBufferAllocator extends AbstractByteBufAllocator {
  /** The only instance, which has no state. */
  static final ByteBufAllocator INSTANCE = new HeapBufferAllocator();

  private HeapBufferAllocator() {
    super(false);
  }

  @Override
  public ByteBuf ioBuffer() {
    return heapBuffer();
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity) {
    return heapBuffer(initialCapacity);
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
    return heapBuffer(initialCapacity, maxCapacity);
  }

  @Override
  protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
    return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity);
  }

  @Override
  protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
    return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity);
  }

  @Override
  public boolean isDirectBufferPooled() {
    return false;
  }
}
