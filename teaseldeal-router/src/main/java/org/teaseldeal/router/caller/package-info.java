/** The HTTP interface for callers: parsing their requests and writing their answers. */
@NullMarked
package org.teaseldeal.router.caller;

import org.jspecify.annotations.NullMarked;
