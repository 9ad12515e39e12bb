package org.teaseldeal.core.part;

/** Decides whether an instance may send orders to engines now. */
@FunctionalInterface
public interface OrderAuthority {
  /**
   * Allows only the instance that holds the term in its own view of the log and that recently read
   * from the log. Any other instance would issue orders for other settings than the term holder,
   * and the two would undo each other's orders. An instance that is out of contact with the log
   * can't know that another one has taken over.
   */
  OrderAuthority HOLDER_IN_CONTACT = (holder, inContact) -> holder && inContact;

  /**
   * Returns whether the instance may send orders.
   *
   * @param holder whether the entries read here so far show that this incarnation holds the term
   * @param inContact whether the log was read recently, and since this process was last suspended
   */
  boolean mayOrder(boolean holder, boolean inContact);
}
