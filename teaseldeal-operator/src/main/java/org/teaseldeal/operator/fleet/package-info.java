/** Access to the platform's list of instances and to the admin listeners of the instances. */
@NullMarked
package org.teaseldeal.operator.fleet;

import org.jspecify.annotations.NullMarked;
