/** What the operator has published: routes, services, customers, limits. */
@NullMarked
package org.teaseldeal.gateway.plan;

import org.jspecify.annotations.NullMarked;
