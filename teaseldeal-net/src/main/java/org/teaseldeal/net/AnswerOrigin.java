package org.teaseldeal.net;

/**
 * Where an answer was received.
 *
 * @param connection a number of the connection that is unique in the process
 * @param call the number of the call among those of the connection, from 1
 * @param skipped the number of answers, also interim ones, that were skipped since the call started
 */
public record AnswerOrigin(long connection, int call, int skipped, AnswerMatch match) {}
