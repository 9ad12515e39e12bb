/**
 * The typed model of the settings tree, which has one subtree for the fleet and one for each team.
 */
@NullMarked
package org.teaseldeal.settings;

import org.jspecify.annotations.NullMarked;
