import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins of the platform's store, of runners and of clients, and the processes of a small
 * deployment. All of it listens on loopback addresses only.
 */
final class Lab implements AutoCloseable {
  static final String HOST = "desk.example";
  /** The exit statuses; an exception of a stand-in ends the process with another one. */
  static final int HELD = 10;

  static final int BROKEN = 11;
  static final int NOT_RUN = 12;

  final Path folder;
  final Store store = new Store();
  final List<Instance> instances = new CopyOnWriteArrayList<>();
  final List<Runner> runners = new CopyOnWriteArrayList<>();
  private final StringBuilder record = new StringBuilder();
  private final long startNanos = System.nanoTime();
  final Path scratch = Files.createTempDirectory("review");

  Lab(Path folder) throws IOException {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private static final Properties WIRE = readWire();

  private static Properties readWire() {
    Properties names = new Properties();
    try (InputStream in = Lab.class.getResourceAsStream("/wire.properties")) {
      names.load(in);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return names;
  }

  /** Returns a name of the users' protocol. */
  static String wire(String key) {
    return WIRE.getProperty(key);
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Adds a line to record.txt. */
  void note(String format, Object... values) {
    String line = "%7.3f %s%n".formatted(seconds(), format.formatted(values));
    synchronized (record) {
      record.append(line);
    }
  }

  /** Ends all processes, writes the record and the verdict, and ends this process. */
  void finish(int verdict, String reason) {
    String word = verdict == HELD ? "held" : verdict == BROKEN ? "BROKEN" : "could not run";
    note("verdict: %s: %s", word, reason);
    killAll();
    try {
      synchronized (record) {
        Files.writeString(folder.resolve("record.txt"), record.toString());
      }
    } catch (IOException e) {
      System.err.println(e);
    }
    System.out.println(word + ": " + reason);
    Runtime.getRuntime().halt(verdict);
  }

  private void killAll() {
    instances.forEach(Instance::kill);
    try (var files = Files.walk(scratch)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(each -> each.toFile().delete());
    } catch (IOException e) {
      System.err.println(e);
    }
  }

  @Override
  public void close() {
    killAll();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Finds a port that is free for TCP and UDP. */
  static int freePort(String ip) throws IOException {
    for (int i = 0; i < 100; i++) {
      try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName(ip));
          DatagramSocket udp =
              new DatagramSocket(new InetSocketAddress(ip, tcp.getLocalPort()))) {
        return udp.getLocalPort();
      } catch (java.net.BindException e) {
        // The next one is tried.
      }
    }
    throw new IOException("no free port");
  }

  // ---------------------------------------------------------------- HTTP

  /** A request or an answer as it was received. */
  record Message(String first, Map<String, String> headers, byte[] body) {
    String method() {
      return first.split(" ")[0];
    }

    String path() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      line.append((char) next);
      next = in.read();
    }
    return line.toString().stripTrailing();
  }

  /** Reads a head; the body stays unread. */
  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Message(first, headers, new byte[0]);
  }

  static byte[] readBody(InputStream in, Message head) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
        body.writeBytes(chunk);
      }
      return body.toByteArray();
    }
    String length = head.header("content-length");
    byte[] whole = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
    if (!length.isEmpty() && whole.length < Integer.parseInt(length)) {
      throw new EOFException("the body ended early");
    }
    return whole;
  }

  static byte[] readChunk(InputStream in) throws IOException {
    int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
    byte[] chunk = in.readNBytes(size);
    if (chunk.length < size) {
      throw new EOFException("the chunk ended early");
    }
    readLine(in);
    return chunk;
  }

  static Message readMessage(InputStream in) throws IOException {
    Message head = readHead(in);
    return new Message(head.first(), head.headers(), readBody(in, head));
  }

  static byte[] answer(int status, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(body);
    return out.toByteArray();
  }

  interface ConnectionHandler {
    void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
  }

  /** Listens on a free port and serves each connection on a thread of its own. */
  static final class Listener {
    final ServerSocket socket;

    Listener(String ip, ConnectionHandler handler) throws IOException {
      socket = new ServerSocket(0, 1024, InetAddress.getByName(ip));
      Thread.ofPlatform().daemon().start(() -> accept(handler));
    }

    String address() {
      return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private void accept(ConnectionHandler handler) {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          Thread.ofVirtual()
              .start(
                  () -> {
                    try (connection) {
                      InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
                      handler.handle(connection, in, connection.getOutputStream());
                    } catch (Exception e) {
                      // The connection has ended.
                    }
                  });
        } catch (IOException e) {
          return;
        }
      }
    }
  }

  // ---------------------------------------------------------------- the store

  /** The platform's store with topics that keep the newest record of each key. */
  static final class Store {
    private static final int PAGE_ITEMS = 500;

    private static final class Topic {
      final List<byte[]> records = new ArrayList<>();
      final TreeMap<String, Integer> newest = new TreeMap<>();
      final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Producer {
      long epoch = -1;
      long sequence = -1;
      final Deque<long[]> recent = new ArrayDeque<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    final Listener listener;
    volatile long delayMillis;

    Store() throws IOException {
      listener = new Listener("127.0.0.1", this::serve);
    }

    String address() {
      return listener.address();
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
      while (true) {
        Message request = readMessage(in);
        if (delayMillis > 0) {
          Thread.sleep(delayMillis);
        }
        out.write(handle(request));
        out.flush();
      }
    }

    private byte[] handle(Message request) throws InterruptedException {
      Map<String, String> query = new HashMap<>();
      String path = request.path();
      for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
      if (path.startsWith(wire("append"))) {
        return append(query, request.body());
      }
      if (path.startsWith(wire("read"))) {
        return read(query);
      }
      if (path.startsWith(wire("newest"))) {
        return newest(query);
      }
      return answer(404, Map.of(), new byte[0]);
    }

    private static byte[] json(int status, String body) {
      return answer(
          status,
          Map.of("Content-Type", "application/json"),
          body.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized byte[] append(Map<String, String> query, byte[] body) {
      Topic topic = topic(query.get("topic"));
      if (query.containsKey("producer")) {
        Producer producer =
            topic.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
        long epoch = Long.parseLong(query.get("epoch"));
        long sequence = Long.parseLong(query.get("seq"));
        if (epoch < producer.epoch) {
          return json(409, "{\"reason\":\"fenced\"}");
        }
        if (epoch == producer.epoch) {
          for (long[] earlier : producer.recent) {
            if (earlier[0] == sequence) {
              return json(
                  200, "{\"offset\":%d,\"endOffset\":%d}".formatted(earlier[1], earlier[2]));
            }
          }
          if (sequence != producer.sequence + 1) {
            return json(
                409, "{\"reason\":\"seq\",\"seq\":%d}".formatted(producer.sequence + 1));
          }
        } else {
          producer.recent.clear();
        }
        producer.epoch = epoch;
        producer.sequence = sequence;
      }
      long first = topic.records.size();
      ByteBuffer in = ByteBuffer.wrap(body);
      while (in.hasRemaining()) {
        byte[] record = new byte[in.getInt()];
        in.get(record);
        add(topic, record);
      }
      long end = topic.records.size();
      if (query.containsKey("producer")) {
        Deque<long[]> recent = topic.producers.get(query.get("producer")).recent;
        recent.addLast(new long[] {Long.parseLong(query.get("seq")), first, end});
        if (recent.size() > 5) {
          recent.removeFirst();
        }
      }
      notifyAll();
      return json(200, "{\"offset\":%d,\"endOffset\":%d}".formatted(first, end));
    }

    private synchronized byte[] read(Map<String, String> query) throws InterruptedException {
      Topic topic = topic(query.get("topic"));
      int from = Integer.parseInt(query.get("from"));
      long until =
          System.nanoTime()
              + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
      while (from >= topic.records.size() && System.nanoTime() < until) {
        wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "1024"));
      for (int i = from; i < topic.records.size() && out.size() < maxBytes; i++) {
        byte[] record = topic.records.get(i);
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
      return answer(200, Map.of(), out.toByteArray());
    }

    private synchronized byte[] newest(Map<String, String> query) {
      Topic topic = topic(query.get("topic"));
      Map<String, Integer> rest =
          query.containsKey("after")
              ? topic.newest.tailMap(query.get("after"), false)
              : topic.newest;
      List<String> items = new ArrayList<>();
      for (Map.Entry<String, Integer> entry : rest.entrySet()) {
        if (items.size() == PAGE_ITEMS) {
          break;
        }
        byte[] record = topic.records.get(entry.getValue());
        int keyLength = Byte.toUnsignedInt(record[0]);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
        items.add(
            "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                .formatted(
                    entry.getKey(), Base64.getEncoder().encodeToString(value), entry.getValue()));
      }
      return json(
          200,
          "{\"items\":[%s],\"hasMore\":%s,\"endOffset\":%d}"
              .formatted(
                  String.join(",", items), items.size() < rest.size(), topic.records.size()));
    }

    private static void add(Topic topic, byte[] record) {
      int keyLength = Byte.toUnsignedInt(record[0]);
      String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
      if (record.length == 1 + keyLength) {
        topic.newest.remove(key);
      } else {
        topic.newest.put(key, topic.records.size());
      }
      topic.records.add(record);
    }

    private Topic topic(String name) {
      return topics.computeIfAbsent(name, created -> new Topic());
    }

    /** Writes a record, as the operator or a runner does. */
    synchronized void put(String topic, String key, String value) {
      byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream record = new ByteArrayOutputStream();
      record.write(keyBytes.length);
      record.writeBytes(keyBytes);
      record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
      add(topic(topic), record.toByteArray());
      notifyAll();
    }
  }

  // ---------------------------------------------------------------- runners

  /** What a runner does with a request that is meant for it. */
  interface Work {
    void run(Runner runner, Message request, OutputStream out) throws Exception;
  }

  /** A run of a request at a runner. */
  record Run(double at, String runner, String id, String first, String tenant, int bodyBytes) {}

  final List<Run> runs = new CopyOnWriteArrayList<>();

  /**
   * Bytes that a faulty runner sends on the connection of this thread when the next request arrives
   * there.
   */
  static final ThreadLocal<java.util.function.Supplier<byte[]>> LATE_BYTES = new ThreadLocal<>();

  /** The connection that this thread serves. */
  private static final ThreadLocal<Socket> CONNECTION = new ThreadLocal<>();

  /** Resets the connection that this thread serves. */
  static void reset() throws IOException {
    CONNECTION.get().setSoLinger(true, 0);
    CONNECTION.get().close();
    throw new IOException("reset on purpose");
  }

  /** A runner that lists itself in the store and answers as a sound one. */
  final class Runner {
    final String id;
    final String service;
    final Work work;
    final Listener listener;
    volatile int slots = 64;
    private final AtomicInteger sequence = new AtomicInteger();

    Runner(String id, String service, Work work) throws IOException {
      this.id = id;
      this.service = service;
      this.work = work;
      listener = new Listener("127.0.0.1", this::serve);
      runners.add(this);
      Thread.ofVirtual()
          .start(
              () -> {
                while (true) {
                  beat();
                  sleep(1200);
                }
              });
    }

    void beat() {
      store.put(
          wire("servers"),
          id,
          """
          {"service":"%s","addr":"%s","zone":"hall-a","version":"v1","slots":%d,"state":"ready",\
          "coldLeftMs":0,"seq":%d}"""
              .formatted(service, listener.address(), slots, sequence.incrementAndGet()));
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
      CONNECTION.set(socket);
      while (true) {
        Message request = readMessage(in);
        if (LATE_BYTES.get() != null) {
          out.write(LATE_BYTES.get().get());
          out.flush();
          LATE_BYTES.remove();
        }
        if (request.path().equals("/health")) {
          out.write(answer(200, Map.of("Instance-Id", id), new byte[0]));
        } else if (!request.header(wire("expected").toLowerCase(Locale.ROOT)).isEmpty()
            && !request.header(wire("expected").toLowerCase(Locale.ROOT)).equals(id)) {
          out.write(answer(421, Map.of("Instance-Id", id), new byte[0]));
        } else {
          work.run(this, request, out);
        }
        out.flush();
      }
    }

    /** Records that the runner begins to work on a request. */
    void begin(Message request) {
      runs.add(
          new Run(
              seconds(),
              id,
              request.header("request-id"),
              request.first(),
              request.header("tenant"),
              request.body().length));
    }

    Map<String, String> signed(Message request) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Request-Id", request.header("request-id"));
      headers.put(wire("seal"), "seal." + id + "." + request.header("request-id"));
      return headers;
    }
  }

  /** Answers after some time with a body that names the request. */
  static Work plain(long workMillis) {
    return (runner, request, out) -> {
      runner.begin(request);
      sleep(workMillis);
      byte[] body = ("answer to " + request.header("request-id")).getBytes(StandardCharsets.UTF_8);
      out.write(answer(200, runner.signed(request), body));
    };
  }

  /** Streams events, each of which holds {@code stride} tokens. */
  static Work stream(int events, long firstMillis, long gapMillis) {
    return (runner, request, out) -> {
      Map<String, String> headers = runner.signed(request);
      StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      sleep(firstMillis);
      runner.begin(request);
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      String last = request.header("last-event-id");
      for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
        byte[] event = "id: %d\ndata: piece %d\n\n".formatted(i, i).getBytes();
        out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
        out.write(event);
        out.write("\r\n".getBytes());
        out.flush();
        sleep(gapMillis);
      }
      out.write("0\r\n\r\n".getBytes());
    };
  }

  // ---------------------------------------------------------------- instances

  /** A process of the deploy file's role. */
  final class Instance {
    final String name;
    final String ip;
    final String callers;
    final String readiness;
    final String peers;
    final String metrics;
    final Path settings;
    final Path log;
    volatile Process process;

    Instance(int number) throws IOException {
      name = "front-hall-a-" + number;
      ip = "127.0.0." + (10 + number);
      callers = ip + ":" + freePort(ip);
      readiness = ip + ":" + freePort(ip);
      peers = ip + ":" + freePort(ip);
      metrics = ip + ":" + freePort(ip);
      settings = scratch.resolve(name + ".toml");
      log = scratch.resolve(name + ".log");
      Files.writeString(
          settings,
          """
          instance = "%s@%s"
          data_centre = "hall-a"
          callers = "%s"
          readiness = "%s"
          peers = "%s"
          store = "%s"
          metrics = "%s"
          shutdown_grace = "8s"
          regions = ["plovdiv"]
          server_heartbeat = "1200ms"

          [retries]
          share = "0.2"
          reserve = 58
          window = "10s"

          [balance]
          handover = true

          [plain_services]
          place_by_free_slots = true

          [engines]
          memory_share = 0.9
          """
              .formatted(name, ip, callers, readiness, peers, store.address(), metrics));
      instances.add(this);
    }

    void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder(
              "target/platform/runtime/bin/java",
              "@target/platform/options",
              "org.teaseldeal.platform.Main");
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put(wire("settings"), settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      note("%s started, pid %d", name, process.pid());
    }

    boolean ready() {
      try {
        return request(readiness, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], 1000)
                .status()
            == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean awaitReady(long millis) {
      for (long until = System.nanoTime() + millis * 1_000_000; System.nanoTime() < until; ) {
        if (ready()) {
          return true;
        }
        sleep(50);
      }
      return false;
    }

    void signal(String signal) throws Exception {
      note("%s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
      }
    }

    String logText() {
      try {
        return Files.readString(log);
      } catch (IOException e) {
        return "";
      }
    }
  }

  // ---------------------------------------------------------------- clients

  private final AtomicInteger lastId = new AtomicInteger();

  String newId() {
    return "%016x".formatted(0x9c41d07b00000000L + lastId.incrementAndGet());
  }

  /** The head of a client's request. */
  static String head(
      String method, String path, String id, String key, long deadlineMillis, String more) {
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
            + "Authorization: Bearer %s\r\n%s")
        .formatted(method, path, HOST, id, deadlineMillis, key, more);
  }

  /** Sends a request on a new connection and reads its whole answer. */
  static Message request(String address, String head, byte[] body, int timeoutMillis)
      throws IOException {
    int colon = address.indexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1000);
      socket.setSoTimeout(timeoutMillis);
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      return readMessage(new BufferedInputStream(socket.getInputStream()));
    }
  }

  /** Starts all instances and waits until they are ready. */
  void startAll(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      new Instance(i).start();
    }
    for (Instance each : instances) {
      if (!each.awaitReady(30_000)) {
        finish(NOT_RUN, each.name + " did not become ready: " + each.logText());
      }
    }
    sleep(1500);
  }
}
