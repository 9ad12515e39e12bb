package org.teaseldeal.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The event loops shared by all servers, clients and connections of a process.
 *
 * <p>Their threads are daemons and live as long as the process. There are few of them on purpose:
 * an instance is small, and its tasks on them are short.
 */
public final class SharedEventLoops {
  private static final int MAX_THREADS = 4;

  /** System property with the number of event loop threads, for programs that need exactly one. */
  public static final String THREADS_PROPERTY = "teaseldeal.net.threads";

  private SharedEventLoops() {}

  private static int threadCount() {
    int defaultThreads = Math.clamp(Runtime.getRuntime().availableProcessors(), 1, MAX_THREADS);
    return Integer.getInteger(THREADS_PROPERTY, defaultThreads);
  }

  private static final class Holder {
    static final EventLoopGroup GROUP =
        new MultiThreadIoEventLoopGroup(
            threadCount(), new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
  }

  /**
   * Runs {@code task} on {@code loop} after the loop has handled all input that has arrived by now.
   *
   * <p>A task that is merely queued may run in a round that began before the input arrived. A timer
   * set on the loop itself runs in the next round at the earliest, and each round starts by
   * handling input.
   */
  static void afterPendingInput(EventLoop loop, Runnable task) {
    loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
  }

  /**
   * Runs {@code task} on {@code loop} after {@code delay}, once the loop has handled all input that
   * has arrived by then: what the task would miss may have arrived while the loop was blocked.
   *
   * @return cancels the task, unless the delay is over
   */
  static Future<?> scheduleAfterPendingInput(EventLoop loop, Duration delay, Runnable task) {
    return loop.schedule(
        () -> afterPendingInput(loop, task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Returns the only event loop, for programs whose parts rely on running on one thread. With
   * several, two of them could start the same request, and its caller would receive two mixed
   * answers.
   *
   * @throws IllegalStateException if there is more than one event loop; see {@link
   *     #THREADS_PROPERTY}
   */
  public static EventLoop singleEventLoop() {
    if (threadCount() != 1) {
      throw new IllegalStateException(
          "there are %d event loops, but this program needs exactly one: set %s to 1"
              .formatted(threadCount(), THREADS_PROPERTY));
    }
    return eventLoopGroup().next();
  }

  /** Returns the shared event loops. */
  public static EventLoopGroup eventLoopGroup() {
    return Holder.GROUP;
  }
}
