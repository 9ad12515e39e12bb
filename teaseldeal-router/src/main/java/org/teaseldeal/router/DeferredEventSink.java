package org.teaseldeal.router;

import java.util.function.Consumer;
import org.teaseldeal.core.event.InstanceEvent;

/**
 * Forwards events to an event loop that is created after the components that publish the events.
 *
 * <p>Events that arrive before {@link #connect} are dropped. Only the listener for peers is started
 * earlier, because the instance is created from the address of that listener. Dropping a message
 * that arrives this early is harmless: its sender repeats it.
 */
final class DeferredEventSink implements Consumer<InstanceEvent> {
  private volatile Consumer<InstanceEvent> target = event -> {};

  void connect(Consumer<InstanceEvent> loop) {
    target = loop;
  }

  @Override
  public void accept(InstanceEvent event) {
    target.accept(event);
  }
}
