package org.wigeonwharf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;
import org.wigeonwharf.model.Addresses;

/** A PlatformClient reads JSON documents from one of the platform's services. */
public final class PlatformClient {
  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

  private final HttpClient client;
  private final InetSocketAddress platform;
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Creates a client.
   *
   * @param client a started client, owned by the caller
   * @param platform the service's address
   */
  public PlatformClient(HttpClient client, InetSocketAddress platform) {
    this.client = client;
    this.platform = platform;
  }

  /**
   * Reads one document.
   *
   * @param path the path and query, with its leading slash
   * @param timeout longest wait for the whole answer
   * @return the document, or empty if the service says that nothing changed
   * @throws IOException if the service can't be reached, refuses or answers no JSON
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public Optional<JsonNode> get(String path, Duration timeout)
      throws IOException, InterruptedException {
    String uri = "http://" + Addresses.format(platform) + path;
    ContentResponse response = send(uri, timeout);
    if (response.getStatus() == HttpStatus.NOT_MODIFIED_304) {
      return Optional.empty();
    }
    if (response.getStatus() != HttpStatus.OK_200) {
      throw new IOException("the platform answered " + response.getStatus());
    }
    return Optional.of(json.readTree(response.getContent()));
  }

  private ContentResponse send(String uri, Duration timeout)
      throws IOException, InterruptedException {
    Request request = client.newRequest(uri).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    try {
      return new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
    } catch (ExecutionException e) {
      throw new IOException("the platform can't be reached: " + e.getCause(), e);
    } catch (InterruptedException e) {
      request.abort(e);
      throw e;
    }
  }
}
