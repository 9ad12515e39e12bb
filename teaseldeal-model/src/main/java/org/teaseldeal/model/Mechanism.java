package org.teaseldeal.model;

/** What can be switched off, to see what it is worth. */
public enum Mechanism {
  /** Instances ask each other for idle tokens when the log is slow or away. */
  DRAWS,
  /** Instances know what others have outstanding at the servers. */
  LOADS,
  /** Instances know what others have sent to the servers' caches. */
  CACHES,
  /** Instances that hear no other one don't ask holders. */
  ISOLATION
}
