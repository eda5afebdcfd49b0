package cedarrudder.lab.experiment;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.BalancerParametersParser;
import cedarrudder.lab.policy.TierBudgets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One of the things compared.
 *
 * @param name as in reports
 * @param policy the name of the way of deciding
 * @param tuning the figures of our own decisions; other policies have none
 * @param budgets that all proxies have beside it; null: none
 * @param changes of each scenario's settings, in the order of reading
 */
public record Variant(
        String name,
        String policy,
        BalancerParameters tuning,
        TierBudgets budgets,
        List<Change> changes) {

    /** Replicas what it is given. */
    public Variant {
        changes = List.copyOf(changes);
    }

    /** What it sets: {@code probes-per-call=0.1 allowed.peers=false}; empty where nothing. */
    public String differences() {
        Stream<String> figures =
                Stream.of(
                        BalancerParametersParser.differences(tuning),
                        budgets == null ? "" : budgets.toString());
        return Stream.concat(figures, changes.stream().map(Change::toString))
                .filter(text -> !text.isEmpty())
                .collect(Collectors.joining(" "));
    }
}
