package org.teaseldeal.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.util.function.Predicate;

/**
 * Decodes answers. Netty's client codec counts on one answer to each request: after an additional
 * one it would take the next answer for that to an earlier method.
 */
final class AnswerDecoder extends HttpResponseDecoder {
  private final Predicate<HttpResponse> answersHead;

  private boolean ignoresAnnouncedBody;

  /**
   * Creates a decoder.
   *
   * @param answersHead returns whether the request that a head answers has the method HEAD
   */
  AnswerDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
    super(config);
    this.answersHead = answersHead;
  }

  /** Returns whether the last decoded answer has no body, although its head announces one. */
  boolean ignoresAnnouncedBody() {
    return ignoresAnnouncedBody;
  }

  /** Returns whether bytes have been received that are not decoded yet. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** The superclass calls this for each head, and then removes the encoding of the body. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean empty = super.isContentAlwaysEmpty(message) || answersHead.test((HttpResponse) message);
    ignoresAnnouncedBody = empty && announcesBody(message);
    return empty;
  }

  private static boolean announcesBody(HttpMessage message) {
    return message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        || HttpUtil.getContentLength(message, 0L) > 0;
  }
}
