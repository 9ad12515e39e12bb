package org.teaseldeal.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The event loops that all servers, clients and connections of a process share.
 *
 * <p>Their threads are daemons and live as long as the process. They are few on purpose: an
 * instance is small, and the work on them is short.
 */
public final class NetRuntime {
  private static final int MAX_THREADS = 4;

  /** System property: how many threads the event loops have, for programs that need just one. */
  public static final String THREADS_PROPERTY = "teaseldeal.net.threads";

  private NetRuntime() {}

  private static int threads() {
    int present = Math.clamp(Runtime.getRuntime().availableProcessors(), 1, MAX_THREADS);
    return Integer.getInteger(THREADS_PROPERTY, present);
  }

  private static final class Holder {
    static final EventLoopGroup GROUP =
        new MultiThreadIoEventLoopGroup(
            threads(), new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
  }

  /**
   * Runs {@code task} on {@code loop} after it has handled all input that has arrived by now.
   *
   * <p>A task that is only queued may run in a round that began before the input arrived. A timer
   * set on the loop itself runs in the next round at the earliest, and a round starts with input.
   */
  static void afterPendingInput(EventLoop loop, Runnable task) {
    loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
  }

  /**
   * The only event loop, for programs whose parts trust that one thread runs them all. With more,
   * two of them could start the same request, and its caller would get two answers in one.
   *
   * @throws IllegalStateException if there are several; see {@link #THREADS_PROPERTY}
   */
  public static EventLoop onlyLoop() {
    if (threads() != 1) {
      throw new IllegalStateException(
          "the event loops were %d, expected one: set %s".formatted(threads(), THREADS_PROPERTY));
    }
    return group().next();
  }

  /** The shared event loops. */
  public static EventLoopGroup group() {
    return Holder.GROUP;
  }
}
