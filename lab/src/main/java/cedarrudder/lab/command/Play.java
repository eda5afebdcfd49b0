package cedarrudder.lab.command;

import cedarrudder.Balancer;
import cedarrudder.Decide;
import cedarrudder.Tuning;
import cedarrudder.TuningText;
import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.policy.Truth;
import cedarrudder.lab.referee.Figures;
import cedarrudder.lab.referee.Judge;
import cedarrudder.lab.rivals.Rivals;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/** Plays runs of the model with the referee on, so that no result goes unjudged. */
final class Play {

    private Play() {}

    /** Our own decisions under some figures. */
    private record Own(Tuning tuning, TierBudgets budgets) implements Policy {
        @Override
        public String name() {
            return Rivals.OWN;
        }

        @Override
        public Balancer create(
                Balancer.Settings settings,
                RandomGenerator random,
                Balancer.Actions actions,
                Truth truth) {
            return new Decide(settings, tuning, random, actions);
        }
    }

    /** Another's decisions with budgets beside them. */
    private record Budgeted(Policy of, TierBudgets budgets) implements Policy {
        @Override
        public String name() {
            return of.name();
        }

        @Override
        public Balancer create(
                Balancer.Settings settings,
                RandomGenerator random,
                Balancer.Actions actions,
                Truth truth) {
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
    static Policy policy(String name, Tuning tuning, TierBudgets budgets) {
        if (name.equals(Rivals.OWN)) {
            return new Own(tuning, budgets);
        }
        Policy rival = Rivals.named(name);
        if (!TuningText.differences(tuning).isEmpty()) {
            throw new IllegalArgumentException(
                    name + " has no figures to set; only " + Rivals.OWN + " has");
        }
        return budgets == null ? rival : new Budgeted(rival, budgets);
    }

    /** What results call a policy under some figures: {@code cedarrudder idle-ms=500 budget}. */
    static String variant(String name, Tuning tuning, TierBudgets budgets) {
        String figures = TuningText.differences(tuning);
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
        Judge judge = new Judge(Figures.of(scenario), Model.START);
        Model.Played played =
                Model.run(
                        scenario,
                        seed,
                        judge.watched(policy),
                        variant,
                        seen.apply(judge.trace()),
                        guard);
        // Guards against reading what a run that had to be left behind may still write to.
        return played.result().tiers().isEmpty()
                ? played
                : new Model.Played(judge.judged(played.result()), played.cost());
    }
}
