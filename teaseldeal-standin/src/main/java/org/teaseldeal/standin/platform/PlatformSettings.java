package org.teaseldeal.standin.platform;

import java.time.Duration;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.settings.ListenSettings;

/** The settings of the platform stand-in. */
public record PlatformSettings(
    ListenSettings listen, Log log, Instances instances, Weights weights, PlatformFaults faults) {
  /** Reads the settings from a file's root table. */
  public static PlatformSettings read(TomlReader root) {
    return new PlatformSettings(
        ListenSettings.read(root),
        Log.read(root.table("log")),
        Instances.read(root.table("instances")),
        Weights.read(root.table("weights")),
        PlatformFaults.read(root.table("faults"), PlatformFaults.NONE));
  }

  /**
   * The settings of the log.
   *
   * @param retention the maximum age of a record
   * @param retentionRecords the maximum number of records of a stream
   * @param retentionBytes the maximum number of bytes of a stream's records
   * @param appendsPerSecond the rate limit for the appends of all writers together
   * @param appendBurst the number of appends that the rate limit allows at once after a pause
   * @param maxRecordBytes the maximum size of a record
   */
  public record Log(
      Duration retention,
      int retentionRecords,
      long retentionBytes,
      double appendsPerSecond,
      double appendBurst,
      int maxRecordBytes) {
    private static final double APPENDS_PER_SECOND = 400;
    private static final long MEBIBYTE = 1 << 20;

    static Log read(TomlReader table) {
      return new Log(
          table.duration(
              "retention", Duration.ofHours(1), Duration.ofMillis(1), Duration.ofDays(30)),
          table.intInRange("retention_records", 1_000_000, 1, 10_000_000),
          table.byteSize("retention_size", 128 * MEBIBYTE, MEBIBYTE, 16_384 * MEBIBYTE),
          table.doubleInRange("appends_per_second", APPENDS_PER_SECOND, 0.1, 1e6),
          table.doubleInRange("append_burst", APPENDS_PER_SECOND / 2, 1, 1e6),
          (int) table.byteSize("max_record_size", MEBIBYTE, 1, 8 * MEBIBYTE));
    }
  }

  /**
   * The settings of the instance list.
   *
   * @param lag the age of the list that readers get
   * @param expiry the time after which an instance without a renewal is removed
   */
  public record Instances(Duration lag, Duration expiry) {
    static Instances read(TomlReader table) {
      return new Instances(
          table.duration("lag", Duration.ofMillis(500), Duration.ZERO, Duration.ofHours(1)),
          table.duration(
              "expiry", Duration.ofSeconds(5), Duration.ofMillis(1), Duration.ofDays(1)));
    }
  }

  /**
   * The settings of the weight store.
   *
   * @param bytes the size of each file of weights
   * @param bytesPerSecond the rate limit for all readers together
   */
  public record Weights(int bytes, long bytesPerSecond) {
    private static final long MEBIBYTE = 1 << 20;

    static Weights read(TomlReader table) {
      return new Weights(
          (int) table.byteSize("size", MEBIBYTE, 1, 64 * MEBIBYTE),
          table.byteSize("rate_per_second", 64 * MEBIBYTE, 1, 1_024 * MEBIBYTE));
    }
  }
}
