/** Reports of commands: records that are rendered as text for people or as JSON for programs. */
@NullMarked
package org.teaseldeal.operator.report;

import org.jspecify.annotations.NullMarked;
