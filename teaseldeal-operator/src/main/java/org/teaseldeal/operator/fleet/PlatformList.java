package org.teaseldeal.operator.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.net.HttpAnswer;

/** Reads the platform's list of instances, which lags behind the actual state of the fleet. */
public final class PlatformList {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int STATUS_OK = 200;

  private final HttpFetcher http;
  private final String address;
  private final Duration timeout;

  /** Creates a reader of the list of the platform at {@code address}. */
  public PlatformList(HttpFetcher http, String address, Duration timeout) {
    this.http = http;
    this.address = address;
    this.timeout = timeout;
  }

  /** The result of reading the list. */
  public sealed interface Listing {
    /** The entry instances on the list, ordered by name. */
    record Found(List<ListedInstance> instances) implements Listing {
      public Found {
        instances = List.copyOf(instances);
      }
    }

    /** The list couldn't be read; {@code detail} says why. */
    record Unreachable(String detail) implements Listing {}
  }

  /** Reads the list. */
  public Listing read() {
    try {
      HttpAnswer answer = http.get(address, "/instances", Optional.empty(), timeout);
      return answer.status() == STATUS_OK
          ? parse(answer.body())
          : new Listing.Unreachable("the platform's list answered " + answer.status());
    } catch (IOException e) {
      return new Listing.Unreachable("the platform's list can't be read: " + e.getMessage());
    }
  }

  private static Listing parse(byte[] body) throws IOException {
    List<ListedInstance> instances = new ArrayList<>();
    for (JsonNode entry : MAPPER.readTree(body).path("instances")) {
      if (entry.path("role").asText().equals("router")) {
        instances.add(listedInstance(entry));
      }
    }
    instances.sort((a, b) -> a.instance().compareTo(b.instance()));
    return new Listing.Found(instances);
  }

  private static ListedInstance listedInstance(JsonNode entry) throws IOException {
    try {
      return new ListedInstance(
          new InstanceId(entry.path("id").asText()),
          new IncarnationId(entry.path("incarnation").asText()),
          new DataCentre(entry.path("data_centre").asText()),
          entry.path("state").asText().equals("leaving"),
          Optional.ofNullable(entry.get("admin_address")).map(JsonNode::asText));
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed list entry: " + e.getMessage(), e);
    }
  }
}
