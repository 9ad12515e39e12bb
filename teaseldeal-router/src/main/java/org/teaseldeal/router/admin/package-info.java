/** The HTTP interface for operators: liveness, readiness, metrics, dump, log level and drain. */
@NullMarked
package org.teaseldeal.router.admin;

import org.jspecify.annotations.NullMarked;
