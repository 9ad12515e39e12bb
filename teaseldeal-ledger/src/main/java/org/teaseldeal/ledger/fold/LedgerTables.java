package org.teaseldeal.ledger.fold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.ledger.state.ClaimView;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.LeaseView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.ledger.state.OrderTerm;
import org.teaseldeal.ledger.state.SnapshotView;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/**
 * Holds all tables of one stream's state, exports and reads them, and answers queries about them.
 */
final class LedgerTables implements LedgerState {
  private static final long FORMAT_VERSION = 1;

  /**
   * Removable writers are searched for this many times per key retention rather than at each
   * record, because the search visits every lease.
   */
  private static final int SWEEPS_PER_KEY_RETENTION = 16;

  final WriterTable writers;
  final Budgets budgets;
  final KeyedCharges keyedCharges;
  final ClaimTable claims;
  final SettingsTable settings;
  final OrderTable orders;
  private final KeyRetention defaults;
  private long foldedTo = -1;
  private long logMillis;
  private long nextSweepMillis;
  private long snapshotEpoch;
  private long coveredOffset = -1;
  private long snapshotMillis;

  LedgerTables(KeyRetention defaults, SettingsValidator validator) {
    this.defaults = defaults;
    writers = new WriterTable();
    budgets = new Budgets(writers);
    keyedCharges = new KeyedCharges(writers);
    claims = new ClaimTable();
    settings = new SettingsTable(validator);
    orders = new OrderTable();
  }

  private LedgerTables(StateReader in, KeyRetention defaults, SettingsValidator validator) {
    this.defaults = defaults;
    foldedTo = in.number();
    logMillis = in.number();
    nextSweepMillis = in.number();
    snapshotEpoch = in.number();
    coveredOffset = in.number();
    snapshotMillis = in.number();
    writers = WriterTable.read(in);
    budgets = Budgets.read(in, writers);
    keyedCharges = KeyedCharges.read(in, writers);
    claims = ClaimTable.read(in);
    settings = SettingsTable.read(in, validator);
    orders = OrderTable.read(in);
    in.requireFullyRead();
  }

  byte[] export(StreamId stream) {
    StateWriter out = new StateWriter();
    out.number(FORMAT_VERSION).number(stream.index());
    out.number(foldedTo).number(logMillis).number(nextSweepMillis);
    out.number(snapshotEpoch).number(coveredOffset).number(snapshotMillis);
    writers.write(out);
    budgets.write(out);
    keyedCharges.write(out);
    claims.write(out);
    settings.write(out);
    orders.write(out);
    return out.toBytes();
  }

  static LedgerTables read(
      byte[] exported, StreamId stream, KeyRetention defaults, SettingsValidator validator) {
    StateReader in = new StateReader(exported);
    long version = in.number();
    Preconditions.require(
        version == FORMAT_VERSION,
        "state had version %d, expected %d".formatted(version, FORMAT_VERSION));
    long index = in.number();
    Preconditions.require(
        index == stream.index(),
        "state was of stream %d, expected %d".formatted(index, stream.index()));
    return new LedgerTables(in, defaults, validator);
  }

  /**
   * Advances to a record: sets the offset and the log time, and drops everything that is too old by
   * that time.
   */
  void advance(long offset, Instant appendedAt) {
    logMillis = Math.max(logMillis, appendedAt.toEpochMilli());
    if (foldedTo < 0) {
      snapshotMillis = logMillis;
    }
    foldedTo = offset;
    expire();
  }

  private void expire() {
    Optional<FleetSettings> fleet = settings.fleet();
    Duration claimWindow = fleet.map(FleetSettings::claimWindow).orElse(defaults.claimWindow());
    Duration keyRetention = fleet.map(FleetSettings::keyRetention).orElse(defaults.keyRetention());
    long retentionLimit = logMillis - keyRetention.toMillis();
    claims.expire(logMillis - claimWindow.toMillis(), retentionLimit);
    budgets.dropOperationsUntil(retentionLimit);
    keyedCharges.dropUntil(retentionLimit);
    if (logMillis >= nextSweepMillis) {
      nextSweepMillis = logMillis + keyRetention.toMillis() / SWEEPS_PER_KEY_RETENTION + 1;
      removeExpiredWriters(retentionLimit);
    }
  }

  /**
   * Removes writers that have ended or never joined, once they have been silent for the key
   * retention and no tokens are left under their leases.
   *
   * <p>A record of a removed writer that appears later is not applied again: its sequence number is
   * above 1, and the fold accepts only number 1 from an unknown writer.
   */
  private void removeExpiredWriters(long limit) {
    Set<Integer> sources = new HashSet<>();
    budgets.leases().forEach((service, source, tokens) -> sources.add(source));
    writers.removeIf(
        writer ->
            !writer.isLive() && writer.lastSeenMillis <= limit && !sources.contains(writer.number));
  }

  void completeSnapshot(long covered) {
    if (covered > coveredOffset) {
      snapshotEpoch++;
      coveredOffset = covered;
      snapshotMillis = logMillis;
    }
  }

  long logMillis() {
    return logMillis;
  }

  @Override
  public long foldedTo() {
    return foldedTo;
  }

  @Override
  public Instant logTime() {
    return Instant.ofEpochMilli(logMillis);
  }

  @Override
  public Optional<AccountView> account(AccountId account) {
    return budgets.accounts().view(budgets.accounts().find(account));
  }

  @Override
  public Stream<AccountView> accounts() {
    AccountTable accounts = budgets.accounts();
    return IntStream.range(0, accounts.size()).mapToObj(accounts::view).flatMap(Optional::stream);
  }

  @Override
  public long spendable(ServiceId service) {
    return budgets.spendable(service);
  }

  @Override
  public List<LeaseView> leases(ServiceId service) {
    List<LeaseView> views = new ArrayList<>();
    int row = budgets.accounts().find(service);
    if (row != AccountTable.NONE) {
      budgets
          .leases()
          .forEach(
              row, (serviceRow, source, tokens) -> views.add(lease(serviceRow, source, tokens)));
    }
    return views;
  }

  @Override
  public List<LeaseView> leases(IncarnationId source) {
    List<LeaseView> views = new ArrayList<>();
    writers
        .find(source)
        .ifPresent(
            writer ->
                budgets
                    .leases()
                    .forEachOfSource(
                        writer.number, (row, id, tokens) -> views.add(lease(row, id, tokens))));
    return views;
  }

  private LeaseView lease(int row, int source, long tokens) {
    Writer writer = writers.byNumber(source);
    if (writer == null) {
      throw new IllegalStateException("The source of a lease is no longer in the writer table");
    }
    return new LeaseView(budgets.accounts().service(row), writer.incarnation, tokens, writer.ended);
  }

  @Override
  public long leased(ServiceId service, IncarnationId source) {
    int row = budgets.accounts().find(service);
    return row == AccountTable.NONE
        ? 0
        : writers.find(source).map(w -> budgets.leases().tokens(row, w.number)).orElse(0L);
  }

  @Override
  public boolean charged(ChargeId id) {
    return writers.find(id.origin()).map(origin -> origin.charged(id.number())).orElse(false);
  }

  @Override
  public Optional<ClaimView> claim(ClaimKey key) {
    return claims.find(key);
  }

  @Override
  public boolean claimExpired(ClaimKey key) {
    return claims.expired(key);
  }

  @Override
  public Optional<SubtreeView> subtree(SubtreeId subtree) {
    return settings.find(subtree);
  }

  @Override
  public List<SubtreeView> subtrees() {
    return settings.all();
  }

  @Override
  public long settingsRevision() {
    return settings.all().stream().mapToLong(SubtreeView::revision).max().orElse(0);
  }

  @Override
  public Optional<FleetSettings> fleet() {
    return settings.fleet();
  }

  @Override
  public Optional<TeamSettings> team(TeamId team) {
    return settings.team(team);
  }

  @Override
  public List<InstanceView> instances() {
    return writers.all().stream().map(Writer::view).flatMap(Optional::stream).toList();
  }

  @Override
  public boolean ended(IncarnationId incarnation) {
    return writers.find(incarnation).map(writer -> writer.ended).orElse(false);
  }

  @Override
  public long lastSequence(IncarnationId writer) {
    return writers.find(writer).map(known -> known.lastSequence).orElse(0L);
  }

  @Override
  public Optional<OrderTerm> orders(String pool) {
    return orders.find(pool);
  }

  @Override
  public List<OrderTerm> orders() {
    return orders.all();
  }

  @Override
  public SnapshotView snapshot() {
    return new SnapshotView(snapshotEpoch, coveredOffset, Instant.ofEpochMilli(snapshotMillis));
  }

  @Override
  public Optional<String> findImbalance() {
    return budgets.findImbalance();
  }
}
