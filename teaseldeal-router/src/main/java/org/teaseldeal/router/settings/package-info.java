/** The settings file of a router. */
@NullMarked
package org.teaseldeal.router.settings;

import org.jspecify.annotations.NullMarked;
