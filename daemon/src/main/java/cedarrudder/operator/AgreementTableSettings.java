package cedarrudder.operator;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinationSettings;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of the coordination among replicas.
 *
 * @param agreement the settings of the consensus log
 * @param fleet the settings of plans and leases
 * @param zones the zone of each replica by its number, as the settings name it; empty where there
 *     is one zone
 * @param folder the folder in which this replica persists its durable state, or null where it
 *     persists nothing
 */
public record AgreementTableSettings(
        ConsensusSettings agreement, CoordinationSettings fleet, List<String> zones, Path folder) {
    public AgreementTableSettings {
        zones = List.copyOf(zones);
    }
}
