package cedarrudder.operator;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinationSettings;
import java.nio.file.Path;
import java.util.List;

/**
 * What replicas decide together, and how.
 *
 * @param zones the zone of each replica by its number, as the settings name it; empty where there
 *     is one zone
 * @param folder where this replica keeps what it must not forget, or null where it may forget
 */
public record AgreementTableSettings(
        ConsensusSettings agreement, CoordinationSettings fleet, List<String> zones, Path folder) {
    public AgreementTableSettings {
        zones = List.copyOf(zones);
    }
}
