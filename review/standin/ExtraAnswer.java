import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Runners that are full say so; some of these answers come a second time, late. */
final class ExtraAnswer {
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final int RUNNERS = 4;
  private static final int FAULTY = 2;
  private static final int SLOTS = 6;
  private static final int QUEUE = 3;
  private static final long WORK_MILLIS = 60;

  /** The part of a faulty runner's answers that come a second time. */
  private static final double EXTRA_SHARE = 0.03;

  private static final int BURSTS = 60;
  private static final long BURST_GAP_MILLIS = 400;

  /** When answers come a second time, from the first burst on; the pages allow 5 s at a time. */
  private static final long[] EXTRAS_FROM_MILLIS = {1_000, 9_000, 17_000};

  private static final long EXTRAS_MILLIS = 5_000;
  private static final int BURST = 60;
  private static final byte[] FULL =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  private static volatile boolean repeating;
  private static final AtomicInteger SHED = new AtomicInteger();
  private static final AtomicInteger EXTRAS = new AtomicInteger();

  /** A runner with so many places that turns away what finds none. */
  private static final class Desk implements Lab.Work {
    private final boolean faulty;
    private final Random random;
    private final java.util.concurrent.Semaphore places =
        new java.util.concurrent.Semaphore(SLOTS + QUEUE);
    private final java.util.concurrent.Semaphore slots =
        new java.util.concurrent.Semaphore(SLOTS, true);

    Desk(boolean faulty, int seed) {
      this.faulty = faulty;
      this.random = new Random(seed);
    }

    @Override
    public void run(Lab.Runner runner, Lab.Message request, OutputStream out) throws Exception {
      if (!places.tryAcquire()) {
        SHED.incrementAndGet();
        out.write(FULL);
        boolean again;
        synchronized (random) {
          again = repeating && faulty && random.nextDouble() < EXTRA_SHARE;
        }
        if (again) {
          EXTRAS.incrementAndGet();
          Lab.LATE_BYTES.set(() -> repeating ? FULL : new byte[0]);
        }
        return;
      }
      try {
        slots.acquire();
        try {
          Lab.plain(WORK_MILLIS).run(runner, request, out);
        } finally {
          slots.release();
        }
      } finally {
        places.release();
      }
    }
  }

  private static void repeatAnswers(Lab lab) {
    long now = 0;
    for (long from : EXTRAS_FROM_MILLIS) {
      Lab.sleep(from - now);
      repeating = true;
      lab.note("%d of %d runners repeat %.2f of these answers", FAULTY, RUNNERS, EXTRA_SHARE);
      Lab.sleep(EXTRAS_MILLIS);
      repeating = false;
      lab.note("no more answers are repeated");
      now = from + EXTRAS_MILLIS;
    }
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]));
    lab.store.put(
        Lab.wire("operator"),
        "config",
        """
        {"version":7,"routes":[{"name":"bid","host":"%s","pathPrefix":"/bid/","kind":"unsafe",\
        "timeoutMs":2000,"aimMs":100,"priority":2,"service":"auction-desk","maxAttempts":1,\
        "noAuth":false,"sticky":false,"canResume":false}],\
        "services":[{"name":"auction-desk","healthPath":"/health","maxConns":110}],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
        "idleTimeoutMs":15000},\
        "tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1}]}"""
            .formatted(Lab.HOST, KEY));
    for (int i = 0; i < RUNNERS; i++) {
      Desk desk = new Desk(Lab.trouble() && i < FAULTY, i);
      lab.new Runner("i-desk-" + i, "auction-desk", desk).slots = SLOTS;
    }
    lab.runners.forEach(Lab.Runner::beat);
    lab.startAll(3);
    if (Lab.trouble()) {
      Thread.ofVirtual().start(() -> repeatAnswers(lab));
    }
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    CountDownLatch left = new CountDownLatch(BURSTS * BURST);
    for (int burst = 0; burst < BURSTS; burst++) {
      for (int i = 0; i < BURST; i++) {
        Lab.Instance instance = lab.instances.get(i % lab.instances.size());
        Thread.ofVirtual()
            .start(
                () -> {
                  String id = lab.newId();
                  int status = 0;
                  try {
                    Lab.Message answer =
                        Lab.request(
                            instance.callers,
                            Lab.head("POST", "/bid/2f", id, KEY, 600, "Content-Length: 3\r\n\r\n"),
                            "abc".getBytes(StandardCharsets.US_ASCII),
                            3_000);
                    status = answer.status();
                  } catch (Exception e) {
                    lab.note("%s at %s: %s", id, instance.name, e);
                  }
                  answers.put(id, status);
                  left.countDown();
                });
      }
      Lab.sleep(BURST_GAP_MILLIS);
    }
    left.await();
    Lab.sleep(1_000);
    Map<String, List<String>> runsById = new LinkedHashMap<>();
    for (Lab.Run run : lab.runs) {
      runsById
          .computeIfAbsent(run.id(), id -> new ArrayList<>())
          .add("%s at %.3f".formatted(run.runner(), run.at()));
    }
    int refusedAndRun = 0;
    int twice = 0;
    Map<Integer, Integer> statuses = new LinkedHashMap<>();
    for (String id : new TreeSet<>(answers.keySet())) {
      int status = answers.get(id);
      List<String> runs = runsById.getOrDefault(id, List.of());
      statuses.merge(status, 1, Integer::sum);
      boolean promised = status == 429 || status == 503 || status == 408 || status == 421;
      String verdict = "";
      if (promised && !runs.isEmpty()) {
        refusedAndRun++;
        verdict = " REFUSED and run";
      }
      if (runs.size() > 1) {
        twice++;
        verdict += " run TWICE";
      }
      lab.note("sent %s, answered %d, run %s%s", id, status, runs, verdict);
    }
    String summary =
        "%d unsafe requests refused and run, %d run twice; answers %s, runners shed %d, extra answers %d"
            .formatted(refusedAndRun, twice, statuses, SHED.get(), EXTRAS.get());
    if (statuses.getOrDefault(200, 0) == 0 || (Lab.trouble() && EXTRAS.get() == 0)) {
      lab.finish(Lab.NOT_RUN, summary);
    }
    lab.finish(refusedAndRun > 0 ? Lab.BROKEN : Lab.HELD, summary);
  }
}
