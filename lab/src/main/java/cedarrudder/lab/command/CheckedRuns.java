package cedarrudder.lab.command;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.BalancerParametersParser;
import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.lab.baselines.Policies;
import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.referee.RunChecker;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/** Plays runs of the model with the referee on, so that no result goes unjudged. */
final class CheckedRuns {

    private CheckedRuns() {}

    /** Our own decisions under some figures. */
    private record Own(BalancerParameters tuning, TierBudgets budgets) implements Policy {
        @Override
        public String name() {
            return Policies.OWN;
        }

        @Override
        public LoadBalancer create(
                BalancerSettings settings,
                RandomGenerator random,
                LoadBalancer.Actions actions,
                GroundTruth truth) {
            return new PrequalBalancer(settings, tuning, random, actions);
        }
    }

    /** Another's decisions with budgets beside them. */
    private record Budgeted(Policy of, TierBudgets budgets) implements Policy {
        @Override
        public String name() {
            return of.name();
        }

        @Override
        public LoadBalancer create(
                BalancerSettings settings,
                RandomGenerator random,
                LoadBalancer.Actions actions,
                GroundTruth truth) {
            return of.create(settings, random, actions, truth);
        }
    }

    /**
     * The policy of a name, our own under some figures.
     *
     * @param budgets that its proxies have; null: none
     * @throws IllegalArgumentException if there is none, or if figures are set for another than our
     *     own
     */
    static Policy policy(String name, BalancerParameters tuning, TierBudgets budgets) {
        if (name.equals(Policies.OWN)) {
            return new Own(tuning, budgets);
        }
        Policy rival = Policies.named(name);
        if (!BalancerParametersParser.differences(tuning).isEmpty()) {
            throw new IllegalArgumentException(
                    name + " has no figures to set; only " + Policies.OWN + " has");
        }
        return budgets == null ? rival : new Budgeted(rival, budgets);
    }

    /** What results call a policy under some figures: {@code cedarrudder idle-ms=500 budget}. */
    static String variant(String name, BalancerParameters tuning, TierBudgets budgets) {
        String figures = BalancerParametersParser.differences(tuning);
        return name
                + (figures.isEmpty() ? "" : " " + figures)
                + (budgets == null ? "" : " " + budgets);
    }

    /**
     * Plays a run; what the referee found is in its result.
     *
     * @param seen made around the trace that the referee reads, and given all that goes to it
     * @throws InterruptedException if the calling thread is interrupted; the run is given up
     */
    static Model.Played play(
            Scenario scenario,
            long seed,
            Policy policy,
            String variant,
            Guard guard,
            UnaryOperator<Trace> seen)
            throws InterruptedException {
        RunChecker judge = new RunChecker(RuleParameters.of(scenario), Model.START);
        Model.Played played =
                Model.run(
                        scenario,
                        seed,
                        judge.watched(policy),
                        variant,
                        seen.apply(judge.trace()),
                        guard);
        // This avoids reading what a run that had to be left behind may still write to.
        return played.result().tiers().isEmpty()
                ? played
                : new Model.Played(judge.judged(played.result()), played.cost());
    }
}
