package org.teaseldeal.ledger.state;

import org.teaseldeal.settings.SubtreeId;

/** A settings subtree in force. */
public record SubtreeView(SubtreeId subtree, long revision, String author, String toml) {}
