@NullMarked
package org.teaseldeal.model;

import org.jspecify.annotations.NullMarked;
