package cedarrudder.protocol;

import cedarrudder.balancer.BalancerSettings;
import java.util.List;

/**
 * The settings of a site: those of the balancer, and those of the process around the balancer.
 *
 * @param fields the index of each value in a load report, on the simulator's wire
 * @param reports the source of load reports
 * @param tiers the names of the tiers, starting with the first tier
 * @param zones the names of the zones, by the balancer's zone number
 * @param kinds the names of the machine kinds, by the balancer's number
 */
public record SiteSettings(
        BalancerSettings module,
        LoadReportFields fields,
        Reports reports,
        List<String> tiers,
        List<String> zones,
        List<String> kinds) {

    /** The source of load reports: none, only probes, or all responses. */
    public enum Reports {
        NONE,
        PROBES,
        ANSWERS
    }
}
