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
 * Typed getters over one TOML table.
 *
 * <p>Each getter names a key that the table may have; a key that no getter named is reported as
 * unknown. A getter without a default requires its key. Where the text is wrong the getter adds a
 * {@link SettingsProblem} and returns its default or some value within its range.
 */
public final class TomlReader {
  /** What {@link #sha256} returns where the text has none. */
  public static final String PLACEHOLDER_SHA256 = "0".repeat(64);

  private static final TomlTable EMPTY = Toml.parse("");
  private static final String PLACEHOLDER = "invalid";
  private static final Pattern VERSIONED = Pattern.compile("([^@\\s]{1,200})@([^@\\s]{1,200})");

  private final TomlDocument document;
  private final TomlTable table;
  private final String path;
  private final int line;
  private final TreeSet<String> known = new TreeSet<>();
  private final List<TomlReader> children = new ArrayList<>();
  private boolean anyName;

  TomlReader(TomlDocument document, TomlTable table, String path, int line) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.line = line;
  }

  /** Whether the table has {@code key}. */
  public boolean has(String key) {
    known.add(key);
    return raw(key) != null;
  }

  /** Adds a problem with the value of {@code key}, for rules that no getter knows. */
  public void addProblem(String key, String message) {
    document.add(new SettingsProblem(pathOf(key), lineOf(key), message));
  }

  /** Text that isn't blank. */
  public String text(String key) {
    return required(key, PLACEHOLDER, ValueRule.TEXT);
  }

  /** Text that isn't blank, or {@code byDefault} if the key is missing. */
  public String text(String key, String byDefault) {
    return optional(key, byDefault, ValueRule.TEXT);
  }

  /** Text that isn't blank, if the key is there. */
  public Optional<String> optionalText(String key) {
    return has(key) ? Optional.of(text(key)) : Optional.empty();
  }

  /** A name: lower-case letters, digits, dots, underscores and hyphens. */
  public String name(String key) {
    return required(key, PLACEHOLDER, ValueRule.NAME);
  }

  /** A name, or {@code byDefault} if the key is missing. */
  public String name(String key, String byDefault) {
    return optional(key, byDefault, ValueRule.NAME);
  }

  /** A name, if the key is there. */
  public Optional<String> optionalName(String key) {
    return has(key) ? Optional.of(name(key)) : Optional.empty();
  }

  /** A SHA-256 as 64 lower-case hexadecimal digits; what was given never stands in a message. */
  public String sha256(String key) {
    return required(key, PLACEHOLDER_SHA256, ValueRule.SHA256_HEX);
  }

  /** A whole number from {@code min} to {@code max}. */
  public long integer(String key, long min, long max) {
    return required(key, min, ValueRule.integer(min, max));
  }

  /** A whole number from {@code min} to {@code max}, or {@code byDefault}. */
  public long integer(String key, long byDefault, long min, long max) {
    return optional(key, byDefault, ValueRule.integer(min, max));
  }

  /** A whole number from {@code min} to {@code max}, or {@code byDefault}, as an {@code int}. */
  public int smallInteger(String key, int byDefault, int min, int max) {
    return Math.toIntExact(integer(key, byDefault, min, max));
  }

  /** A number from {@code min} to {@code max}. */
  public double fraction(String key, double min, double max) {
    return required(key, min, ValueRule.fraction(min, max));
  }

  /** A number from {@code min} to {@code max}, or {@code byDefault}. */
  public double fraction(String key, double byDefault, double min, double max) {
    return optional(key, byDefault, ValueRule.fraction(min, max));
  }

  /** true or false. */
  public boolean bool(String key) {
    return required(key, false, ValueRule.BOOL);
  }

  /** true or false, or {@code byDefault}. */
  public boolean bool(String key, boolean byDefault) {
    return optional(key, byDefault, ValueRule.BOOL);
  }

  /** One of an enum's constants, written in lower case with hyphens. */
  public <E extends Enum<E>> E oneOf(String key, Class<E> type) {
    List<E> constants = Arrays.asList(type.getEnumConstants());
    return required(key, constants.getFirst(), ValueRule.oneOf(constants));
  }

  /** One of an enum's constants, written in lower case with hyphens, or {@code byDefault}. */
  public <E extends Enum<E>> E oneOf(String key, E byDefault) {
    List<E> constants = Arrays.asList(byDefault.getDeclaringClass().getEnumConstants());
    return optional(key, byDefault, ValueRule.oneOf(constants));
  }

  /** A duration such as {@code 500ms}, {@code 4s}, {@code 10m}, {@code 24h} or {@code 30d}. */
  public Duration duration(String key, Duration byDefault, Duration min, Duration max) {
    return optional(key, byDefault, ValueRule.duration(min, max));
  }

  /** A byte size such as {@code 64KiB}. */
  public long byteSize(String key, long byDefault, long min, long max) {
    return optional(key, byDefault, ValueRule.byteSize(min, max));
  }

  /** A list of text; empty if the key is missing. */
  public List<String> texts(String key) {
    known.add(key);
    Object value = raw(key);
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

  /** A list of {@code name@version}, as versions by name; empty if the key is missing. */
  public Map<String, String> versions(String key) {
    Map<String, String> versions = new LinkedHashMap<>();
    List<String> texts = texts(key);
    for (String text : texts) {
      Matcher matcher = VERSIONED.matcher(text);
      if (!matcher.matches()) {
        addProblem(key, wrongVersion(text, "NAME@VERSION, such as clerk-8b@3"));
      } else if (versions.putIfAbsent(matcher.group(1), matcher.group(2)) != null) {
        addProblem(key, wrongVersion(text, "each name once"));
      }
    }
    return versions;
  }

  private static String wrongVersion(String given, String expected) {
    return "has %s, expected %s".formatted(ValueRule.describe(given), expected);
  }

  /** The table {@code key}, or an empty one if the key is missing. */
  public TomlReader table(String key) {
    known.add(key);
    Object value = raw(key);
    if (value instanceof TomlTable child) {
      return child(key, child);
    }
    if (value != null) {
      addProblem(key, expectedTable(key, value));
    }
    return new TomlReader(document, EMPTY, pathOf(key), line);
  }

  /** The tables under {@code key}, by name and in line order; each name is checked. */
  public Map<String, TomlReader> tables(String key) {
    TomlReader parent = table(key);
    parent.anyName = true;
    Map<String, TomlReader> tables = new LinkedHashMap<>();
    parent.table.keySet().stream()
        .sorted(Comparator.comparingInt(parent::lineOf).thenComparing(Comparator.naturalOrder()))
        .forEach(name -> parent.addNamed(name, tables));
    return tables;
  }

  void reportUnknownKeys() {
    if (!anyName) {
      table.keySet().stream().filter(key -> !known.contains(key)).forEach(this::addUnknown);
    }
    children.forEach(TomlReader::reportUnknownKeys);
  }

  private void addUnknown(String key) {
    addProblem(key, "unknown key, expected one of: " + String.join(", ", known));
  }

  private void addNamed(String name, Map<String, TomlReader> tables) {
    Object value = raw(name);
    if (!ValueRule.isName(name)) {
      addProblem(name, "expected " + ValueRule.NAME.expected());
    } else if (value instanceof TomlTable child) {
      tables.put(name, child(name, child));
    } else {
      addProblem(name, expectedTable(name, value));
    }
  }

  private String expectedTable(String key, @Nullable Object value) {
    return "was %s, expected a table [%s]".formatted(ValueRule.describe(value), pathOf(key));
  }

  private TomlReader child(String key, TomlTable child) {
    TomlReader reader = new TomlReader(document, child, pathOf(key), lineOf(key));
    children.add(reader);
    return reader;
  }

  private void addElement(String key, TomlArray array, int index, List<String> texts) {
    switch (ValueRule.TEXT.check(array.get(index))) {
      case CheckedValue.Right<String>(String text) -> texts.add(text);
      case CheckedValue.Wrong<String>(String given, String expected) ->
          document.add(
              new SettingsProblem(
                  "%s[%d]".formatted(pathOf(key), index),
                  array.inputPositionOf(index).line(),
                  "was %s, expected %s".formatted(given, expected)));
    }
  }

  private <T> T required(String key, T fallback, ValueRule<T> rule) {
    if (!has(key)) {
      addProblem(key, "is missing, expected " + rule.expected());
      return fallback;
    }
    return optional(key, fallback, rule);
  }

  private <T> T optional(String key, T byDefault, ValueRule<T> rule) {
    known.add(key);
    Object value = raw(key);
    if (value == null) {
      return byDefault;
    }
    return switch (rule.check(value)) {
      case CheckedValue.Right<T>(T right) -> right;
      case CheckedValue.Wrong<T>(String given, String expected) -> {
        addProblem(key, "was %s, expected %s".formatted(given, expected));
        yield byDefault;
      }
    };
  }

  private @Nullable Object raw(String key) {
    return table.get(List.of(key));
  }

  private String pathOf(String key) {
    boolean bare = ValueRule.isName(key) && key.indexOf('.') < 0;
    String step = bare ? key : "\"%s\"".formatted(ValueRule.shorten(key));
    return path.isEmpty() ? step : path + "." + step;
  }

  private int lineOf(String key) {
    return raw(key) == null ? line : table.inputPositionOf(List.of(key)).line();
  }
}
