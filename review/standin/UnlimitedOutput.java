import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A tenant sends one request that names no real limit of its output, then its usual requests. */
final class UnlimitedOutput {
  private static final long PREPAID = 60_000;
  private static final int INPUT = 500;
  private static final int MAX_OUTPUT = 60;
  private static final int EVENTS = 10;
  private static final int STRIDE = 6;
  private static final int REQUESTS = 300;
  private static final String KEY = "n2ctnfzs989anu6wsjnb";

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
        "engine":{"slots":64,"kvTokens":557018,"stride":%d,"models":[{"name":"m"}]}}],\
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
        "idleTimeoutMs":15000},\
        "tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1,"prepaid":%d}]}"""
            .formatted(Lab.HOST, STRIDE, KEY, PREPAID));
    for (int i = 0; i < 3; i++) {
      lab.new Runner("i-model-" + i, "model-pool", Lab.stream(EVENTS, 20, 2));
    }
    lab.startAll(3);
    if (Lab.trouble()) {
      send(lab, lab.instances.getFirst(), INPUT + "," + Long.MAX_VALUE, new AtomicLong());
    }
    AtomicLong tokens = new AtomicLong();
    AtomicInteger served = new AtomicInteger();
    CountDownLatch left = new CountDownLatch(REQUESTS);
    for (int i = 0; i < REQUESTS; i++) {
      Lab.Instance instance = lab.instances.get(i % lab.instances.size());
      Thread.ofVirtual()
          .start(
              () -> {
                if (send(lab, instance, INPUT + "," + MAX_OUTPUT, tokens)) {
                  served.incrementAndGet();
                }
                left.countDown();
              });
      Lab.sleep(20);
    }
    left.await();
    lab.note(
        "served %d of %d requests; the tenant got %d tokens of %d prepaid",
        served.get(), REQUESTS, tokens.get(), PREPAID);
    for (Lab.Run run : lab.runs) {
      lab.note("ran at %.3f: %s at %s for %s", run.at(), run.id(), run.runner(), run.tenant());
    }
    if (served.get() == 0) {
      lab.finish(Lab.NOT_RUN, "no request was served");
    }
    boolean broken = tokens.get() > PREPAID;
    lab.finish(
        broken ? Lab.BROKEN : Lab.HELD,
        "%d tokens of %d prepaid, %d of %d requests served"
            .formatted(tokens.get(), PREPAID, served.get(), REQUESTS));
  }

  /** Sends a request; adds its input, and the output that was delivered, to the tokens. */
  private static boolean send(
      Lab lab, Lab.Instance instance, String tokenCount, AtomicLong tokens) {
    String id = lab.newId();
    String more =
        ("Model: m\r\n" + Lab.wire("counts") + ": %s\r\n" + Lab.wire("parts") + ": 5c1e07a2:400,%s:100\r\nContent-Length: 3\r\n\r\n")
            .formatted(tokenCount, id.substring(8));
    String outcome;
    boolean success = false;
    try {
      Lab.Message answer =
          Lab.request(
              instance.callers,
              Lab.head("POST", "/query/2f", id, KEY, 12_000, more),
              "abc".getBytes(),
              13_000);
      outcome = Integer.toString(answer.status());
      if (answer.status() == 200) {
        success = true;
        long events = answer.text().lines().filter(line -> line.startsWith("id:")).count();
        tokens.addAndGet(INPUT + events * STRIDE);
      } else {
        outcome += " " + answer.text().strip();
      }
    } catch (Exception e) {
      outcome = e.toString();
    }
    lab.note("sent %s to %s, token counts %s: %s", id, instance.name, tokenCount, outcome);
    return success;
  }
}
