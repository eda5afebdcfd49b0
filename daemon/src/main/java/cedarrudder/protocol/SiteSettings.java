package cedarrudder.protocol;

import cedarrudder.balancer.BalancerSettings;
import java.util.List;

/**
 * All that the settings say: what the balancer needs, and what only its host needs.
 *
 * @param fields which value of a load report stands where, on the simulator's wire
 * @param reports where load reports come from
 * @param tiers the names of the tiers, the first first
 * @param zones the names of the zones, in the order in which the balancer numbers them
 * @param kinds the names of the machine kinds, likewise
 */
public record SiteSettings(
        BalancerSettings module,
        LoadReportFields fields,
        Reports reports,
        List<String> tiers,
        List<String> zones,
        List<String> kinds) {

    /** Where load reports come from: nowhere, only from probes, or from all answers. */
    public enum Reports {
        NONE,
        PROBES,
        ANSWERS
    }
}
