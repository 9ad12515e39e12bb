package org.teaseldeal.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.Predicate;

/**
 * Decodes answers. Netty's client codec counts on one answer to each request: after an additional
 * one it would take the next answer for that to an earlier method.
 */
final class AnswerDecoder extends HttpResponseDecoder {
  private final Predicate<HttpResponse> answersHead;

  /**
   * Creates a decoder.
   *
   * @param answersHead returns whether the request that a head answers has the method HEAD
   */
  AnswerDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
    super(config);
    this.answersHead = answersHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || answersHead.test((HttpResponse) message);
  }
}
