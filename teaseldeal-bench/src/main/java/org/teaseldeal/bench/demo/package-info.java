/** The demo, which kills a router of a fleet of processes under load and audits the outcome. */
@NullMarked
package org.teaseldeal.bench.demo;

import org.jspecify.annotations.NullMarked;
