package shorecrank.sim;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Finds addresses that a controller can listen on now and after each restart. The ports are below
 * the range that the operating system uses for outgoing connections, which could otherwise take a
 * port while its controller is down.
 */
final class FreePorts {
  private static final int LOWEST_PORT = 15_000;
  private static final int PORTS = 15_000;

  private final SplittableRandom random;
  private final Set<Integer> tried = new HashSet<>();

  FreePorts(SplittableRandom random) {
    this.random = random;
  }

  /** Returns an address on loopback that nobody listens on. */
  String nextAddress() {
    while (true) {
      int port = LOWEST_PORT + random.nextInt(PORTS);
      if (tried.add(port) && isFree(port)) {
        return "127.0.0.1:" + port;
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
