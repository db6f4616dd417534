package shorecrank.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;

/**
 * Sends requests to the peer addresses of controllers, one controller after another, until one
 * answers or the timeout expires.
 */
final class ControllerClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
  private static final long RETRY_MS = 500;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /**
   * A controller's answer.
   *
   * @param status the HTTP status
   * @param body the parsed body, or a missing node if there is none
   */
  record Answer(int status, JsonNode body) {
    /** Reports whether the controller accepted the request. */
    boolean isOk() {
      return status == OK;
    }

    /** Returns the one-line message of the answer, such as the reason for a refusal. */
    String reason() {
      String text = Json.text(body.path("text"));
      return text.isEmpty() ? Json.text(body.path("error")) : text;
    }
  }

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final List<URI> controllers;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param controllers the peer addresses, in the order in which they are tried
   * @param timeout how long requests are retried; each controller is tried at least once
   */
  ControllerClient(List<URI> controllers, Duration timeout) {
    this.controllers = controllers;
    this.timeout = timeout;
  }

  /**
   * Sends a request to each controller in turn until one answers it with a status other than 503.
   * Status 503 is retried: the controller cannot answer now, for example because it does not reach
   * the leader.
   *
   * @throws NoAnswerException if no controller has answered with a status other than 503 when the
   *     timeout expires
   */
  Answer post(String path, JsonNode body) throws NoAnswerException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    String reason = "";
    while (true) {
      for (URI controller : controllers) {
        try {
          Answer answer = send(controller, path, body);
          if (answer.status() != UNAVAILABLE) {
            return answer;
          }
          reason = Json.text(answer.body().path("reason"));
        } catch (IOException e) {
          reason = controller.getAuthority() + " does not answer";
        }
      }
      if (System.nanoTime() > deadlineNanos) {
        throw new NoAnswerException(reason);
      }
      pause(RETRY_MS);
    }
  }

  private Answer send(URI controller, String path, JsonNode body) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(controller.resolve(path))
            .timeout(ANSWER_TIMEOUT)
            .POST(BodyPublishers.ofByteArray(Json.bytes(body)))
            .build();
    try {
      HttpResponse<byte[]> response = http.send(request, BodyHandlers.ofByteArray());
      byte[] text = response.body();
      return new Answer(response.statusCode(), text.length == 0 ? Json.missing() : Json.read(text));
    } catch (MalformedMessageException e) {
      throw new IOException("the answer cannot be read: " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Sleeps for a number of milliseconds. */
  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
