@NullMarked
package org.teaseldeal.gateway.account;

import org.jspecify.annotations.NullMarked;
