package org.teaseldeal.core.part;

import org.teaseldeal.decisions.QueueRule;

/**
 * The queue rules that an instance's settings file can name. The second is a baseline for
 * comparison.
 */
public enum QueueChoice {
  FAIR(QueueRule.FAIR),
  UNBOUNDED(QueueRule.UNBOUNDED);

  private final QueueRule rule;

  QueueChoice(QueueRule rule) {
    this.rule = rule;
  }

  QueueRule rule() {
    return rule;
  }
}
