package org.teaseldeal.ledger.codec;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.wire.gen.ledger.Charge;
import org.teaseldeal.wire.gen.ledger.Claim;
import org.teaseldeal.wire.gen.ledger.ClaimOutcome;
import org.teaseldeal.wire.gen.ledger.CreateBudget;
import org.teaseldeal.wire.gen.ledger.Join;
import org.teaseldeal.wire.gen.ledger.Leave;
import org.teaseldeal.wire.gen.ledger.PublishSettings;
import org.teaseldeal.wire.gen.ledger.ReleaseClaim;
import org.teaseldeal.wire.gen.ledger.RequestLease;
import org.teaseldeal.wire.gen.ledger.Retire;
import org.teaseldeal.wire.gen.ledger.ReturnLease;
import org.teaseldeal.wire.gen.ledger.SnapshotChunk;
import org.teaseldeal.wire.gen.ledger.TakeOrders;
import org.teaseldeal.wire.gen.ledger.TopUp;
import org.teaseldeal.wire.gen.ledger.WriteOff;

/** Converts entries to Thrift structs and back. */
public final class EntryCodec {
  private EntryCodec() {}

  /** Returns the Thrift struct of {@code entry}. */
  public static org.teaseldeal.wire.gen.ledger.Entry toWire(Entry entry) {
    return switch (entry) {
      case Entry.Join e ->
          org.teaseldeal.wire.gen.ledger.Entry.join(
              new Join(e.instance().name(), e.dataCentre().name(), e.peerAddress()));
      case Entry.Leave e -> org.teaseldeal.wire.gen.ledger.Entry.leave(new Leave());
      case Entry.PublishSettings e ->
          org.teaseldeal.wire.gen.ledger.Entry.publishSettings(
              new PublishSettings(e.subtree().value(), e.baseRevision(), e.author(), e.toml()));
      case Entry.CreateBudget e ->
          org.teaseldeal.wire.gen.ledger.Entry.createBudget(
              new CreateBudget(e.account().toString(), e.tokens(), e.author(), e.operation()));
      case Entry.TopUp e ->
          org.teaseldeal.wire.gen.ledger.Entry.topUp(
              new TopUp(e.account().toString(), e.tokens(), e.author(), e.operation()));
      case Entry.RequestLease e ->
          org.teaseldeal.wire.gen.ledger.Entry.requestLease(
              new RequestLease(e.service().toString(), e.wanted(), e.minimum()));
      case Entry.ReturnLease e ->
          org.teaseldeal.wire.gen.ledger.Entry.returnLease(
              new ReturnLease(e.service().toString(), e.source().value(), e.tokens()));
      case Entry.Charge e -> org.teaseldeal.wire.gen.ledger.Entry.charge(chargeToWire(e));
      case Entry.WriteOff e ->
          org.teaseldeal.wire.gen.ledger.Entry.writeOff(
              new WriteOff(
                  e.id().origin().value(),
                  e.id().number(),
                  e.service().toString(),
                  drawsToWire(e.draws()),
                  e.reason()));
      case Entry.Claim e ->
          org.teaseldeal.wire.gen.ledger.Entry.claim(
              new Claim(
                  e.key().digest(),
                  e.service().toString(),
                  e.customer().toString(),
                  e.bodyDigest()));
      case Entry.ClaimOutcome e ->
          org.teaseldeal.wire.gen.ledger.Entry.claimOutcome(outcomeToWire(e));
      case Entry.ReleaseClaim e ->
          org.teaseldeal.wire.gen.ledger.Entry.releaseClaim(new ReleaseClaim(e.key().digest()));
      case Entry.Retire e ->
          org.teaseldeal.wire.gen.ledger.Entry.retire(
              new Retire(e.incarnation().value(), e.author()));
      case Entry.TakeOrders e ->
          org.teaseldeal.wire.gen.ledger.Entry.takeOrders(
              new TakeOrders(e.pool(), e.previousTerm()));
      case Entry.SnapshotChunk e ->
          org.teaseldeal.wire.gen.ledger.Entry.snapshotChunk(chunkToWire(e));
    };
  }

  /**
   * Returns the entry of {@code wire}; empty if its kind is unknown to this version.
   *
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  public static Optional<Entry> fromWire(org.teaseldeal.wire.gen.ledger.Entry wire) {
    var field = wire.getSetField();
    return field == null ? Optional.empty() : Optional.of(read(wire, field));
  }

  /** Returns the number of bytes that {@code entry} takes in a record. */
  public static int size(Entry entry) {
    return CompactBytes.of(toWire(entry)).length;
  }

  private static Entry read(
      org.teaseldeal.wire.gen.ledger.Entry wire,
      org.teaseldeal.wire.gen.ledger.Entry._Fields field) {
    return switch (field) {
      case JOIN -> join(wire.getJoin());
      case LEAVE -> new Entry.Leave();
      case PUBLISH_SETTINGS -> publishSettings(wire.getPublishSettings());
      case CREATE_BUDGET -> createBudget(wire.getCreateBudget());
      case TOP_UP -> topUp(wire.getTopUp());
      case REQUEST_LEASE -> requestLease(wire.getRequestLease());
      case RETURN_LEASE -> returnLease(wire.getReturnLease());
      case CHARGE -> charge(wire.getCharge());
      case WRITE_OFF -> writeOff(wire.getWriteOff());
      case CLAIM -> claim(wire.getClaim());
      case CLAIM_OUTCOME -> claimOutcome(wire.getClaimOutcome());
      case RELEASE_CLAIM -> new Entry.ReleaseClaim(key(wire.getReleaseClaim().getKey()));
      case RETIRE -> retire(wire.getRetire());
      case TAKE_ORDERS -> takeOrders(wire.getTakeOrders());
      case SNAPSHOT_CHUNK -> snapshotChunk(wire.getSnapshotChunk());
    };
  }

  private static Entry join(Join wire) {
    return new Entry.Join(
        new InstanceId(text(wire.getInstance(), "instance")),
        new DataCentre(text(wire.getDataCentre(), "data centre")),
        text(wire.getPeerAddress(), "peer address"));
  }

  private static Entry publishSettings(PublishSettings wire) {
    return new Entry.PublishSettings(
        new SubtreeId(text(wire.getSubtree(), "subtree")),
        wire.getBaseRevision(),
        text(wire.getAuthor(), "author"),
        text(wire.getToml(), "toml"));
  }

  private static Entry createBudget(CreateBudget wire) {
    return new Entry.CreateBudget(
        AccountId.parse(text(wire.getAccount(), "account")),
        wire.getTokens(),
        text(wire.getAuthor(), "author"),
        text(wire.getOperation(), "operation"));
  }

  private static Entry topUp(TopUp wire) {
    return new Entry.TopUp(
        AccountId.parse(text(wire.getAccount(), "account")),
        wire.getTokens(),
        text(wire.getAuthor(), "author"),
        text(wire.getOperation(), "operation"));
  }

  private static Entry requestLease(RequestLease wire) {
    return new Entry.RequestLease(
        service(wire.getServiceId()), wire.getWanted(), wire.getMinimum());
  }

  private static Entry returnLease(ReturnLease wire) {
    return new Entry.ReturnLease(
        service(wire.getServiceId()), incarnation(wire.getSource()), wire.getTokens());
  }

  private static Charge chargeToWire(Entry.Charge entry) {
    return new Charge(
        entry.id().origin().value(),
        entry.id().number(),
        entry.request().value(),
        entry.keyed(),
        entry.service().toString(),
        entry.customer().toString(),
        drawsToWire(entry.draws()));
  }

  private static Entry charge(Charge wire) {
    return new Entry.Charge(
        new ChargeId(incarnation(wire.getOrigin()), wire.getNumber()),
        new RequestId(text(wire.getRequest(), "request")),
        wire.isKeyed(),
        service(wire.getServiceId()),
        customer(wire.getCustomer()),
        draws(wire.getDraws()));
  }

  private static Entry writeOff(WriteOff wire) {
    return new Entry.WriteOff(
        new ChargeId(incarnation(wire.getOrigin()), wire.getNumber()),
        service(wire.getServiceId()),
        draws(wire.getDraws()),
        text(wire.getReason(), "reason"));
  }

  private static Entry claim(Claim wire) {
    return new Entry.Claim(
        key(wire.getKey()),
        service(wire.getServiceId()),
        customer(wire.getCustomer()),
        text(wire.getBodyDigest(), "body digest"));
  }

  private static ClaimOutcome outcomeToWire(Entry.ClaimOutcome entry) {
    ClaimOutcome wire = new ClaimOutcome();
    wire.setKey(entry.key().digest());
    wire.setStatus(entry.status());
    wire.setContentType(entry.contentType());
    wire.setBody(entry.body());
    wire.setBodyKept(entry.bodyKept());
    return wire;
  }

  private static Entry claimOutcome(ClaimOutcome wire) {
    return new Entry.ClaimOutcome(
        key(wire.getKey()),
        wire.getStatus(),
        text(wire.getContentType(), "content type"),
        bytes(wire.getBody(), "body"),
        wire.isBodyKept());
  }

  private static Entry retire(Retire wire) {
    return new Entry.Retire(incarnation(wire.getIncarnation()), text(wire.getAuthor(), "author"));
  }

  private static Entry takeOrders(TakeOrders wire) {
    return new Entry.TakeOrders(text(wire.getPool(), "pool"), wire.getPreviousTerm());
  }

  private static SnapshotChunk chunkToWire(Entry.SnapshotChunk entry) {
    SnapshotChunk wire = new SnapshotChunk();
    wire.setCoveredOffset(entry.coveredOffset());
    wire.setIndex(entry.index());
    wire.setCount(entry.count());
    wire.setDigest(entry.digest());
    wire.setBytes(entry.bytes());
    return wire;
  }

  private static Entry snapshotChunk(SnapshotChunk wire) {
    return new Entry.SnapshotChunk(
        wire.getCoveredOffset(),
        wire.getIndex(),
        wire.getCount(),
        text(wire.getDigest(), "digest"),
        bytes(wire.getBytes(), "bytes"));
  }

  private static List<org.teaseldeal.wire.gen.ledger.Draw> drawsToWire(List<Draw> draws) {
    return draws.stream()
        .map(draw -> new org.teaseldeal.wire.gen.ledger.Draw(draw.source().value(), draw.tokens()))
        .toList();
  }

  private static List<Draw> draws(@Nullable List<org.teaseldeal.wire.gen.ledger.Draw> wire) {
    if (wire == null) {
      throw new IllegalArgumentException("draws were missing");
    }
    return wire.stream()
        .map(draw -> new Draw(incarnation(draw.getSource()), draw.getTokens()))
        .toList();
  }

  private static IncarnationId incarnation(@Nullable String value) {
    return new IncarnationId(text(value, "incarnation"));
  }

  private static ServiceId service(@Nullable String value) {
    return ServiceId.parse(text(value, "service"));
  }

  private static CustomerId customer(@Nullable String value) {
    return CustomerId.parse(text(value, "customer"));
  }

  private static ClaimKey key(@Nullable String value) {
    return new ClaimKey(text(value, "claim key"));
  }

  private static String text(@Nullable String value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + " was missing");
    }
    return value;
  }

  private static byte[] bytes(byte @Nullable [] value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + " were missing");
    }
    return value;
  }
}
