/** Tests of the parsing of the platform's answers. */
@NullMarked
package org.teaseldeal.router.platform;

import org.jspecify.annotations.NullMarked;
