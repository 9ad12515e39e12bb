package org.teaseldeal.core;

/** The number of one caller's HTTP exchange within an instance. */
public record CallId(long number) {}
