import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant sends a request that names no real limit of its output; later all processes are killed. */
final class UnreadableNote {
  private static final long PREPAID = 10_000_000;
  private static final int INPUT = 500;
  private static final int MAX_OUTPUT = 60;
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final long BEFORE_MILLIS = 10_000;
  private static final long RECOVER_MILLIS = 12_000;
  private static final long AFTER_MILLIS = 15_000;
  private static final int GAP_MILLIS = 50;

  /** The answers to the requests that were sent in some time. */
  private static final class Counts {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final Map<String, Integer> outcomes = new TreeMap<>();

    synchronized void add(String outcome) {
      outcomes.merge(outcome, 1, Integer::sum);
    }

    @Override
    public synchronized String toString() {
      return "%d of %d served, %s".formatted(served.get(), sent.get(), outcomes);
    }
  }

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(Path.of(args[0]));
    lab.store.put(
        Lab.wire("operator"),
        "config",
        """
        {"version":7,"routes":[{"name":"query","host":"%s","pathPrefix":"/query/","kind":"stream",\
        "timeoutMs":12000,"aimMs":400,"priority":0,"service":"model-pool","maxAttempts":2,\
        "noAuth":false,"sticky":true,"canResume":true,"gapAimMs":400}],\
        "services":[{"name":"model-pool","healthPath":"/health","maxConns":370,\
        "engine":{"slots":64,"kvTokens":557018,"stride":6,"models":[{"name":"m"}]}}],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
        "idleTimeoutMs":15000},\
        "tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1,"prepaid":%d}]}"""
            .formatted(Lab.HOST, KEY, PREPAID));
    for (int i = 0; i < 3; i++) {
      lab.new Runner("i-model-" + i, "model-pool", Lab.stream(10, 20, 2));
    }
    lab.startAll(3);
    Counts before = new Counts();
    Thread odd =
        Thread.ofVirtual()
            .start(
                () -> {
                  Lab.sleep(BEFORE_MILLIS / 2);
                  if (Lab.trouble()) {
                    send(
                        lab,
                        lab.instances.getFirst(),
                        INPUT + "," + Long.MAX_VALUE,
                        new Counts());
                  }
                });
    play(lab, BEFORE_MILLIS, before);
    odd.join();
    lab.note("before the kill: %s", before);
    for (Lab.Instance instance : lab.instances) {
      instance.signal("KILL");
    }
    Lab.sleep(1_000);
    for (Lab.Instance instance : lab.instances) {
      instance.start();
    }
    for (Lab.Instance instance : lab.instances) {
      instance.awaitReady(10_000);
    }
    Counts recovering = new Counts();
    play(lab, RECOVER_MILLIS, recovering);
    lab.note("while they recover: %s", recovering);
    Counts after = new Counts();
    play(lab, AFTER_MILLIS, after);
    lab.note("after recoverS: %s", after);
    for (Lab.Run run : lab.runs) {
      lab.note("ran at %.3f: %s at %s for %s", run.at(), run.id(), run.runner(), run.tenant());
    }
    String summary = "before: %s; later than recoverS: %s".formatted(before, after);
    if (before.served.get() * 4 < before.sent.get()) {
      lab.finish(Lab.NOT_RUN, summary);
    }
    lab.finish(after.served.get() * 4 < after.sent.get() ? Lab.BROKEN : Lab.HELD, summary);
  }

  /** Sends requests to the instances in turn and waits for their answers. */
  private static void play(Lab lab, long millis, Counts counts) {
    AtomicInteger pending = new AtomicInteger();
    long until = System.nanoTime() + millis * 1_000_000;
    for (int i = 0; System.nanoTime() < until; i++) {
      Lab.Instance instance = lab.instances.get(i % lab.instances.size());
      pending.incrementAndGet();
      Thread.ofVirtual()
          .start(
              () -> {
                send(lab, instance, INPUT + "," + MAX_OUTPUT, counts);
                pending.decrementAndGet();
              });
      Lab.sleep(GAP_MILLIS);
    }
    while (pending.get() > 0) {
      Lab.sleep(20);
    }
  }

  private static void send(Lab lab, Lab.Instance instance, String tokenCount, Counts counts) {
    String id = lab.newId();
    String more =
        ("Model: m\r\n" + Lab.wire("counts") + ": %s\r\n" + Lab.wire("parts") + ": 5c1e07a2:400,%s:100\r\nContent-Length: 3\r\n\r\n")
            .formatted(tokenCount, id.substring(8));
    counts.sent.incrementAndGet();
    String outcome;
    try {
      Lab.Message answer =
          Lab.request(
              instance.callers,
              Lab.head("POST", "/query/2f", id, KEY, 12_000, more),
              "abc".getBytes(StandardCharsets.US_ASCII),
              13_000);
      outcome = Integer.toString(answer.status());
      if (answer.status() == 200) {
        counts.served.incrementAndGet();
      } else {
        outcome += " " + answer.text().strip().split(":")[0];
      }
    } catch (Exception e) {
      outcome = e.toString();
    }
    counts.add(outcome);
    lab.note("sent %s to %s, token counts %s: %s", id, instance.name, tokenCount, outcome);
  }
}
