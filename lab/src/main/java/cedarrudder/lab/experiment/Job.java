package cedarrudder.lab.experiment;

import cedarrudder.lab.scenario.Scenario;

/**
 * One run to be made.
 *
 * @param scenario with all changes made; its name is that of the plan's entry
 */
public record Job(Scenario scenario, Variant variant, long seed) {

    /** Where its result belongs. */
    public RunKey key() {
        return new RunKey(scenario.name(), variant.name(), seed);
    }
}
