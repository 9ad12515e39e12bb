package org.teaseldeal.router.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChatCompletionTests {
  private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";

  @Test
  void forwardsUnknownFieldsAndRemovesModelAndOutputLimit() {
    ChatCompletion chat =
        read("{\"model\":\"a/b\",\"max_tokens\":9,\"temperature\":0.50," + MESSAGES + "}");
    assertEquals("a/b", chat.model());
    assertEquals(OptionalLong.of(9), chat.payload().maxOutputTokens());
    assertEquals(
        "{\"temperature\":0.50,"
            + MESSAGES
            + ",\"stream\":true,\"stream_options\":{\"include_usage\":true}}",
        new String(chat.payload().body(), StandardCharsets.UTF_8));
  }

  @Test
  void boundsInputTokensByTheirBytes() {
    // Guards against a bound that is too low for text of several bytes per character, or that
    // depends on whether the caller escapes its characters.
    String text = "æ".repeat(500);
    ChatCompletion chat =
        read("{\"model\":\"b\",\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}");
    assertTrue(chat.payload().inputTokenBound() >= 1000);
    ChatCompletion escaped =
        read(
            "{\"model\":\"b\",\"messages\":[{\"role\":\"user\",\"content\":\""
                + "\\u00e6".repeat(500)
                + "\"}]}");
    assertEquals(chat.payload().inputTokenBound(), escaped.payload().inputTokenBound());
  }

  @Test
  void countsToolsAsInput() {
    String tools = ",\"tools\":[{\"type\":\"function\",\"function\":{\"name\":\"f\"}}]}";
    long without = read("{\"model\":\"b\"," + MESSAGES + "}").payload().inputTokenBound();
    long with = read("{\"model\":\"b\"," + MESSAGES + tools).payload().inputTokenBound();
    assertEquals(tools.length() - ",\"tools\":}".length(), with - without);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          []                                                 | the body is not a JSON object
          {"model":"b"                                       | the body is not JSON within the bounds, at line 1, column 13
          {"model":"b","model":"c","messages":[{}]}          | the body is not JSON within the bounds, at line 1, column 21
          {"messages":[{}]}                                  | model was absent or no text, expected a service's name
          {"model":"b"}                                      | messages was absent or empty, expected a list
          {"model":"b","messages":[]}                        | messages was absent or empty, expected a list
          {"model":"b","messages":["x"]}                     | a message was no object
          {"model":"b","messages":[{}],"stream":"yes"}       | stream was not true or false
          {"model":"b","messages":[{}],"n":2}                | n was not 1, expected one answer
          {"model":"b","messages":[{}],"best_of":2}          | best_of is not supported
          {"model":"b","messages":[{}],"max_tokens":0}       | max_tokens was no whole number from 1 to 100000000
          {"model":"b","messages":[{}],"max_tokens":1.5}     | max_tokens was no whole number from 1 to 100000000
          {"model":"b","messages":[{}],"max_tokens":1,"max_completion_tokens":2} | max_tokens and max_completion_tokens differ
          {"model":"b","messages":[{"content":[{"type":"image_url"}]}]} | a message has a part that is not of type text
          """)
  void refusesInvalidBodies(String body, String detail) {
    IllegalArgumentException refused =
        assertThrows(IllegalArgumentException.class, () -> read(body));
    assertEquals(detail, refused.getMessage());
  }

  @Test
  void refusesDeepNesting() {
    String deep = "{\"model\":\"b\",\"x\":" + "[".repeat(100) + "]".repeat(100) + "}";
    assertThrows(IllegalArgumentException.class, () -> read(deep));
  }

  private static ChatCompletion read(String body) {
    return ChatCompletion.read(body.getBytes(StandardCharsets.UTF_8));
  }
}
