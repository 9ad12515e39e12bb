package org.teaseldeal.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The observation of one request by its caller. The times to the first frame and to the end count
 * from the time at which the request was due.
 *
 * @param requestId the request id from the answer's headers
 * @param cause the label of the error, or empty if there was none
 * @param toFirst the time to the first frame, or to the answer if it was not streamed
 * @param toEnd the time to the end of the answer
 * @param gaps the times between consecutive frames
 * @param frames the number of frames received
 */
public record Sample(
    Arrival arrival,
    Outcome outcome,
    Optional<String> requestId,
    Optional<String> cause,
    Optional<Duration> toFirst,
    Duration toEnd,
    List<Duration> gaps,
    long frames) {
  public Sample {
    gaps = List.copyOf(gaps);
  }
}
