package org.teaseldeal.core.system;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.settings.CustomerSettings;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.TeamSettings;

/** The settings in force, with an index of the customers by the digest of their bearer tokens. */
final class SettingsView {
  private final LedgerSystem ledger;
  private final Map<String, List<CustomerSettings>> customersByDigest = new HashMap<>();
  private long indexedChangeCounter = -1;

  SettingsView(LedgerSystem ledger) {
    this.ledger = ledger;
  }

  Optional<FleetSettings> fleet() {
    return ledger.fleetSettings();
  }

  Optional<TeamSettings> team(TeamId team) {
    return ledger.teamSettings(team);
  }

  /**
   * Returns the customers whose settings contain the digest of a token, ordered by name. There is
   * usually one.
   *
   * <p>Another team may list the same digest. It must not divert the calls of the team that issued
   * the token, so all matching customers are returned and the requested service selects one.
   *
   * <p>The index is searched by digest, so the duration of the look-up reveals nothing about the
   * secret. The digest that is found is still compared in constant time.
   */
  List<CustomerSettings> customersOf(BearerToken token) {
    refreshIndex();
    String digest = Digests.of(token.secret().getBytes(StandardCharsets.UTF_8));
    return customersByDigest.getOrDefault(digest, List.of()).stream()
        .filter(customer -> equalInConstantTime(digest, customer.tokenSha256()))
        .toList();
  }

  private static boolean equalInConstantTime(String digest, String other) {
    return MessageDigest.isEqual(
        digest.getBytes(StandardCharsets.US_ASCII), other.getBytes(StandardCharsets.US_ASCII));
  }

  private void refreshIndex() {
    long revision = ledger.settingsChangeCounter();
    if (revision == indexedChangeCounter) {
      return;
    }
    customersByDigest.clear();
    ledger.allTeamSettings().stream()
        .flatMap(team -> team.customers().values().stream())
        .sorted(Comparator.comparing(CustomerSettings::id))
        .forEach(
            customer ->
                customersByDigest
                    .computeIfAbsent(customer.tokenSha256(), digest -> new ArrayList<>(1))
                    .add(customer));
    indexedChangeCounter = revision;
  }
}
