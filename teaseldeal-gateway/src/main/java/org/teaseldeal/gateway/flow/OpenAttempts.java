package org.teaseldeal.gateway.flow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * The attempts of one request that may still deliver its answer, oldest first.
 *
 * <p>There is more than one while a server is silent: its attempt stays open until another server
 * has delivered a part of the answer, as that one may turn out to be full, unreachable or silent
 * too.
 */
final class OpenAttempts implements Iterable<Attempt> {
  private final List<Attempt> attempts = new ArrayList<>(1);

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns whether no attempt other than {@code attempt} is open. */
  boolean isOnly(Attempt attempt) {
    return attempts.size() == 1 && attempts.getFirst() == attempt;
  }

  /** Returns whether {@code attempt} was open before all others that are. */
  boolean isOldest(Attempt attempt) {
    return !attempts.isEmpty() && attempts.getFirst() == attempt;
  }

  /** Returns the attempt that was sent last; there has to be one. */
  Attempt newest() {
    return attempts.getLast();
  }

  /** Iterates over the open attempts, none of which may be added or removed meanwhile. */
  @Override
  public Iterator<Attempt> iterator() {
    return attempts.iterator();
  }

  /** Returns all open attempts as they are now. */
  List<Attempt> all() {
    return List.copyOf(attempts);
  }

  /** Returns the open attempts other than {@code attempt}, as they are now. */
  List<Attempt> except(Attempt attempt) {
    return attempts.stream().filter(other -> other != attempt).toList();
  }

  /** Returns the servers that may still answer. */
  Set<ServerIncarnation> servers() {
    Set<ServerIncarnation> servers = new HashSet<>();
    attempts.forEach(attempt -> servers.add(attempt.server().incarnation()));
    return servers;
  }

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt);
  }
}
