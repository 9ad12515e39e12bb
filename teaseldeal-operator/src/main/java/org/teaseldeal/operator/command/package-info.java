/** The commands: each class holds the options of one command and runs it. */
@NullMarked
package org.teaseldeal.operator.command;

import org.jspecify.annotations.NullMarked;
