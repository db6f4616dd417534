package shorecrank.sim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports on loopback that the kernel has chosen and that stay reserved until this object is closed.
 * A controller can listen on such a port now and after each restart, and neither another run on
 * this machine nor an outgoing connection gets it meanwhile.
 */
final class ReservedPorts implements AutoCloseable {
  /** Sockets that are bound and never connect, which keeps their ports. */
  private final List<Socket> reservations = new ArrayList<>();

  /** Returns an address on loopback that nobody else listens on. */
  String nextAddress() {
    try {
      Socket reservation = new Socket();
      reservations.add(reservation);
      // With this option on both sockets, a controller can bind the port, too.
      reservation.setReuseAddress(true);
      reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return "127.0.0.1:" + reservation.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    try {
      for (Socket reservation : reservations) {
        reservation.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
