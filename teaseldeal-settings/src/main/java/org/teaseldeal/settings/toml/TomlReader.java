package org.teaseldeal.settings.toml;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.settings.SettingsProblem;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * Typed getters for one TOML table.
 *
 * <p>Each call of a getter declares a key that the table may have; keys of the text that no getter
 * has declared are reported as unknown. A getter without a default requires its key. If a value is
 * invalid, the getter adds a {@link SettingsProblem} and returns its default or another value in
 * range.
 */
public final class TomlReader {
  /** The value that {@link #sha256} returns if the text has no valid one. */
  public static final String PLACEHOLDER_SHA256 = "0".repeat(64);

  private static final TomlTable EMPTY = Toml.parse("");
  private static final String PLACEHOLDER = "invalid";
  private static final Pattern NAME_AND_VERSION =
      Pattern.compile("([^@\\s]{1,200})@([^@\\s]{1,200})");

  private final TomlDocument document;
  private final TomlTable table;
  private final String path;
  private final int line;
  private final TreeSet<String> declaredKeys = new TreeSet<>();
  private final List<TomlReader> children = new ArrayList<>();
  private boolean acceptsAnyKey;

  TomlReader(TomlDocument document, TomlTable table, String path, int line) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.line = line;
  }

  /** Declares {@code key} and returns whether the table has it. */
  public boolean has(String key) {
    declaredKeys.add(key);
    return rawValue(key) != null;
  }

  /** Adds a problem with the value of {@code key}, for rules that the getters cannot check. */
  public void addProblem(String key, String message) {
    document.addProblem(new SettingsProblem(pathOf(key), lineOf(key), message));
  }

  /** Returns non-blank text. */
  public String text(String key) {
    return readRequired(key, PLACEHOLDER, ValueRule.TEXT);
  }

  /** Returns non-blank text, or {@code defaultValue} if the key is missing. */
  public String text(String key, String defaultValue) {
    return readOptional(key, defaultValue, ValueRule.TEXT);
  }

  /** Returns non-blank text, or empty if the key is missing. */
  public Optional<String> optionalText(String key) {
    return has(key) ? Optional.of(text(key)) : Optional.empty();
  }

  /** Returns a name: lower-case letters, digits, dots, underscores and hyphens. */
  public String name(String key) {
    return readRequired(key, PLACEHOLDER, ValueRule.NAME);
  }

  /** Returns a name, or {@code defaultValue} if the key is missing. */
  public String name(String key, String defaultValue) {
    return readOptional(key, defaultValue, ValueRule.NAME);
  }

  /** Returns a name, or empty if the key is missing. */
  public Optional<String> optionalName(String key) {
    return has(key) ? Optional.of(name(key)) : Optional.empty();
  }

  /**
   * Returns a SHA-256 as 64 lower-case hexadecimal digits. An invalid value is never quoted in a
   * message, as it may be a secret.
   */
  public String sha256(String key) {
    return readRequired(key, PLACEHOLDER_SHA256, ValueRule.SHA256_HEX);
  }

  /** Returns a whole number from {@code min} to {@code max}. */
  public long longInRange(String key, long min, long max) {
    return readRequired(key, min, ValueRule.longInRange(min, max));
  }

  /**
   * Returns a whole number from {@code min} to {@code max}, or {@code defaultValue} if the key is
   * missing.
   */
  public long longInRange(String key, long defaultValue, long min, long max) {
    return readOptional(key, defaultValue, ValueRule.longInRange(min, max));
  }

  /**
   * Returns a whole number from {@code min} to {@code max} as an {@code int}, or {@code
   * defaultValue} if the key is missing.
   */
  public int intInRange(String key, int defaultValue, int min, int max) {
    return Math.toIntExact(longInRange(key, defaultValue, min, max));
  }

  /** Returns a number from {@code min} to {@code max}. */
  public double doubleInRange(String key, double min, double max) {
    return readRequired(key, min, ValueRule.doubleInRange(min, max));
  }

  /**
   * Returns a number from {@code min} to {@code max}, or {@code defaultValue} if the key is
   * missing.
   */
  public double doubleInRange(String key, double defaultValue, double min, double max) {
    return readOptional(key, defaultValue, ValueRule.doubleInRange(min, max));
  }

  /** Returns true or false. */
  public boolean bool(String key) {
    return readRequired(key, false, ValueRule.BOOL);
  }

  /** Returns true or false, or {@code defaultValue} if the key is missing. */
  public boolean bool(String key, boolean defaultValue) {
    return readOptional(key, defaultValue, ValueRule.BOOL);
  }

  /** Returns a constant of an enum, which the text writes in lower case with hyphens. */
  public <E extends Enum<E>> E enumConstant(String key, Class<E> type) {
    List<E> constants = Arrays.asList(type.getEnumConstants());
    return readRequired(key, constants.getFirst(), ValueRule.enumConstant(constants));
  }

  /**
   * Returns a constant of an enum, which the text writes in lower case with hyphens, or {@code
   * defaultValue} if the key is missing.
   */
  public <E extends Enum<E>> E enumConstant(String key, E defaultValue) {
    List<E> constants = Arrays.asList(defaultValue.getDeclaringClass().getEnumConstants());
    return readOptional(key, defaultValue, ValueRule.enumConstant(constants));
  }

  /**
   * Returns a duration such as {@code 500ms}, {@code 4s}, {@code 10m}, {@code 24h} or {@code 30d},
   * or {@code defaultValue} if the key is missing.
   */
  public Duration duration(String key, Duration defaultValue, Duration min, Duration max) {
    return readOptional(key, defaultValue, ValueRule.duration(min, max));
  }

  /**
   * Returns a size in bytes, written such as {@code 64KiB}, or {@code defaultValue} if the key is
   * missing.
   */
  public long byteSize(String key, long defaultValue, long min, long max) {
    return readOptional(key, defaultValue, ValueRule.byteSize(min, max));
  }

  /** Returns a list of non-blank texts; empty if the key is missing. */
  public List<String> textList(String key) {
    declaredKeys.add(key);
    Object value = rawValue(key);
    if (value == null) {
      return List.of();
    }
    if (!(value instanceof TomlArray array)) {
      addProblem(key, "was %s, expected a list of text".formatted(ValueRule.describe(value)));
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      addElement(key, array, i, texts);
    }
    return texts;
  }

  /** Returns a list of {@code name@version} as versions by name; empty if the key is missing. */
  public Map<String, String> versions(String key) {
    Map<String, String> versions = new LinkedHashMap<>();
    List<String> texts = textList(key);
    for (String text : texts) {
      Matcher matcher = NAME_AND_VERSION.matcher(text);
      if (!matcher.matches()) {
        addProblem(key, invalidVersionMessage(text, "NAME@VERSION, such as clerk-8b@3"));
      } else if (versions.putIfAbsent(matcher.group(1), matcher.group(2)) != null) {
        addProblem(key, invalidVersionMessage(text, "each name once"));
      }
    }
    return versions;
  }

  private static String invalidVersionMessage(String found, String expected) {
    return "has %s, expected %s".formatted(ValueRule.describe(found), expected);
  }

  /** Returns the table {@code key}, or an empty one if the key is missing. */
  public TomlReader table(String key) {
    declaredKeys.add(key);
    Object value = rawValue(key);
    if (value instanceof TomlTable child) {
      return child(key, child);
    }
    if (value != null) {
      addProblem(key, expectedTableMessage(key, value));
    }
    return new TomlReader(document, EMPTY, pathOf(key), line);
  }

  /**
   * Returns the tables under {@code key} by name, in the order of their lines; each name is
   * checked.
   */
  public Map<String, TomlReader> tables(String key) {
    TomlReader parent = table(key);
    parent.acceptsAnyKey = true;
    Map<String, TomlReader> tables = new LinkedHashMap<>();
    parent.table.keySet().stream()
        .sorted(Comparator.comparingInt(parent::lineOf).thenComparing(Comparator.naturalOrder()))
        .forEach(name -> parent.addNamed(name, tables));
    return tables;
  }

  void reportUnknownKeys() {
    if (!acceptsAnyKey) {
      table.keySet().stream().filter(key -> !declaredKeys.contains(key)).forEach(this::addUnknown);
    }
    children.forEach(TomlReader::reportUnknownKeys);
  }

  private void addUnknown(String key) {
    addProblem(key, "unknown key, expected one of: " + String.join(", ", declaredKeys));
  }

  private void addNamed(String name, Map<String, TomlReader> tables) {
    Object value = rawValue(name);
    if (!ValueRule.isName(name)) {
      addProblem(name, "expected " + ValueRule.NAME.expected());
    } else if (value instanceof TomlTable child) {
      tables.put(name, child(name, child));
    } else {
      addProblem(name, expectedTableMessage(name, value));
    }
  }

  private String expectedTableMessage(String key, @Nullable Object value) {
    return "was %s, expected a table [%s]".formatted(ValueRule.describe(value), pathOf(key));
  }

  private TomlReader child(String key, TomlTable child) {
    TomlReader reader = new TomlReader(document, child, pathOf(key), lineOf(key));
    children.add(reader);
    return reader;
  }

  private void addElement(String key, TomlArray array, int index, List<String> texts) {
    switch (ValueRule.TEXT.check(array.get(index))) {
      case CheckedValue.Valid<String>(String text) -> texts.add(text);
      case CheckedValue.Invalid<String>(String found, String expected) ->
          document.addProblem(
              new SettingsProblem(
                  "%s[%d]".formatted(pathOf(key), index),
                  array.inputPositionOf(index).line(),
                  "was %s, expected %s".formatted(found, expected)));
    }
  }

  private <T> T readRequired(String key, T substitute, ValueRule<T> rule) {
    if (!has(key)) {
      addProblem(key, "is missing, expected " + rule.expected());
      return substitute;
    }
    return readOptional(key, substitute, rule);
  }

  private <T> T readOptional(String key, T defaultValue, ValueRule<T> rule) {
    declaredKeys.add(key);
    Object value = rawValue(key);
    if (value == null) {
      return defaultValue;
    }
    return switch (rule.check(value)) {
      case CheckedValue.Valid<T>(T valid) -> valid;
      case CheckedValue.Invalid<T>(String found, String expected) -> {
        addProblem(key, "was %s, expected %s".formatted(found, expected));
        yield defaultValue;
      }
    };
  }

  private @Nullable Object rawValue(String key) {
    return table.get(List.of(key));
  }

  private String pathOf(String key) {
    boolean bare = ValueRule.isName(key) && key.indexOf('.') < 0;
    String step = bare ? key : "\"%s\"".formatted(ValueRule.shorten(key));
    return path.isEmpty() ? step : path + "." + step;
  }

  private int lineOf(String key) {
    return rawValue(key) == null ? line : table.inputPositionOf(List.of(key)).line();
  }
}
