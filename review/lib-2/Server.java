package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a free loopback port. */
final class Server implements AutoCloseable {
  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  /** Status of an answer that is never sent: the connection is closed instead. */
  static final int NO_ANSWER = 0;

  /** An answer to a request. */
  record Answer(int status, JsonNode body) {}

  /** Handles one request; may block. */
  interface Handler {
    Answer handle(String method, String path, byte[] body) throws InterruptedException;
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "server");
            thread.setDaemon(true);
            return thread;
          });

  private final HttpServer server;

  Server(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Answer answer =
          handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
      if (answer.status() == NO_ANSWER) {
        throw new IOException("no answer");
      }
      byte[] bytes = Jsons.bytes(answer.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
