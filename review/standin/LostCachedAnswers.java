import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Sessions send their prompt again; some engines lose answers to requests that they have run. */
final class LostCachedAnswers {
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final long PREPAID = 3_000_000;
  private static final int SHARED = 512;
  private static final int SESSION = 6_000;
  private static final int INPUT = SHARED + SESSION;
  private static final int EVENTS = 4;
  private static final int STRIDE = 6;
  private static final int SESSIONS = 8;
  private static final int RUNNERS = 5;
  private static final int FAULTY = 3;
  private static final double LOST_SHARE = 0.4;
  private static final double STEP_MILLIS = 3.09;
  private static final double PREFILL_TOKENS_PER_MILLI = 61.8;
  private static final long LOSING_MILLIS = 4_000;
  private static final long[] LOSING_FROM_MILLIS = {5_000, 12_000};
  private static final long LENGTH_MILLIS = 28_000;
  private static final int GAP_MILLIS = 30;

  private static volatile boolean losing;
  private static final AtomicInteger LOST = new AtomicInteger();

  /** An engine that keeps the parts of prompts that it has read. */
  private static final class Engine implements Lab.Work {
    private final Set<String> cached = ConcurrentHashMap.newKeySet();
    private final boolean faulty;
    private final Random random;

    Engine(boolean faulty, int seed) {
      this.faulty = faulty;
      this.random = new Random(seed);
    }

    @Override
    public void run(Lab.Runner runner, Lab.Message request, OutputStream out) throws Exception {
      long toRead = 0;
      for (String part : request.header(Lab.wire("parts").toLowerCase()).split(",")) {
        if (!cached.contains(part)) {
          toRead += Long.parseLong(part.split(":")[1]);
        }
      }
      Lab.sleep(Math.round(toRead / PREFILL_TOKENS_PER_MILLI + STEP_MILLIS));
      cached.addAll(Set.of(request.header(Lab.wire("parts").toLowerCase()).split(",")));
      runner.begin(request);
      boolean lose;
      synchronized (random) {
        lose = losing && faulty && random.nextDouble() < LOST_SHARE;
      }
      StringBuilder answer = new StringBuilder("HTTP/1.1 200 OK\r\n");
      runner.signed(request).forEach((name, value) -> answer.append(name + ": " + value + "\r\n"));
      answer.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 1; i <= EVENTS; i++) {
        Lab.sleep(Math.round(STEP_MILLIS));
        String event = "id: %d\ndata: piece %d\n\n".formatted(i, i);
        answer.append(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        if (!lose) {
          out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
        }
        answer.setLength(0);
      }
      if (lose) {
        LOST.incrementAndGet();
        Lab.reset();
        return;
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]));
    lab.store.put(
        Lab.wire("operator"),
        "config",
        """
        {"version":7,"routes":[{"name":"summary","host":"%s","pathPrefix":"/sum/","kind":"stream",\
        "timeoutMs":3000,"aimMs":500,"priority":2,"service":"model-pool","maxAttempts":1,\
        "noAuth":false,"sticky":true,"canResume":false,"gapAimMs":400}],\
        "services":[{"name":"model-pool","healthPath":"/health","maxConns":370,\
        "engine":{"slots":64,"kvTokens":557018,"stride":%d,"models":[{"name":"m"}]}}],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
        "idleTimeoutMs":15000},\
        "tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1,"prepaid":%d}]}"""
            .formatted(Lab.HOST, STRIDE, KEY, PREPAID));
    for (int i = 0; i < RUNNERS; i++) {
      lab.new Runner("i-model-" + i, "model-pool", new Engine(i < FAULTY, i));
    }
    lab.startAll(3);
    if (Lab.trouble()) {
      Thread.ofVirtual().start(() -> lose(lab));
    }
    long start = System.nanoTime();
    AtomicLong delivered = new AtomicLong();
    Map<String, String> outcomes = new ConcurrentHashMap<>();
    Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    AtomicInteger pending = new AtomicInteger();
    int sent = 0;
    while (System.nanoTime() - start < LENGTH_MILLIS * 1_000_000) {
      Lab.Instance instance = lab.instances.get(sent % lab.instances.size());
      String session = "5e55%04x".formatted(sent % SESSIONS);
      sent++;
      pending.incrementAndGet();
      Thread.ofVirtual()
          .start(
              () -> {
                String id = lab.newId();
                String outcome = send(lab, instance, id, session, delivered);
                outcomes.put(id, instance.name + ", session " + session + ": " + outcome);
                counts.computeIfAbsent(outcome.split(":")[0], o -> new AtomicInteger()).incrementAndGet();
                pending.decrementAndGet();
              });
      Lab.sleep(GAP_MILLIS);
    }
    while (pending.get() > 0) {
      Lab.sleep(50);
    }
    Set<String> ran = new TreeSet<>();
    for (Lab.Run run : lab.runs) {
      ran.add(run.id());
      lab.note("ran at %.3f: %s at %s for %s", run.at(), run.id(), run.runner(), run.tenant());
    }
    new TreeMap<>(outcomes).forEach((id, outcome) -> lab.note("sent %s to %s", id, outcome));
    long consumed = (long) ran.size() * INPUT + delivered.get() * STRIDE;
    String summary =
        "%d tokens consumed of %d prepaid: %d requests ran (%d of them with their answers lost), %d events delivered; outcomes %s"
            .formatted(consumed, PREPAID, ran.size(), LOST.get(), delivered.get(), counts);
    if (delivered.get() == 0 || (Lab.trouble() && LOST.get() == 0)) {
      lab.finish(Lab.NOT_RUN, summary);
    }
    lab.finish(consumed > PREPAID ? Lab.BROKEN : Lab.HELD, summary);
  }

  private static void lose(Lab lab) {
    long now = 0;
    for (long from : LOSING_FROM_MILLIS) {
      Lab.sleep(from - now);
      losing = true;
      lab.note("%d of %d runners lose %.2f of their answers", FAULTY, RUNNERS, LOST_SHARE);
      Lab.sleep(LOSING_MILLIS);
      losing = false;
      lab.note("no more answers are lost");
      now = from + LOSING_MILLIS;
    }
  }

  private static String send(
      Lab lab, Lab.Instance instance, String id, String session, AtomicLong delivered) {
    String more =
        ("Model: m\r\n" + Lab.wire("counts") + ": %d,%d\r\n" + Lab.wire("parts") + ": 5c1e07a2:%d,%s:%d\r\nContent-Length: 3\r\n\r\n")
            .formatted(INPUT, EVENTS * STRIDE, SHARED, session, SESSION);
    try {
      Lab.Message answer =
          Lab.request(
              instance.callers,
              Lab.head("POST", "/sum/2f", id, KEY, 3_000, more),
              "abc".getBytes(StandardCharsets.US_ASCII),
              5_000);
      if (answer.status() != 200) {
        return answer.status() + ": " + answer.text().strip();
      }
      delivered.addAndGet(answer.text().lines().filter(line -> line.startsWith("id:")).count());
      return "200";
    } catch (Exception e) {
      return "no answer: " + e;
    }
  }
}
