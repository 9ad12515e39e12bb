/** Tests of the HTTP interface for operators. */
@NullMarked
package org.teaseldeal.router.admin;

import org.jspecify.annotations.NullMarked;
