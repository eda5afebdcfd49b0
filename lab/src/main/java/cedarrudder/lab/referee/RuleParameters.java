package cedarrudder.lab.referee;

import cedarrudder.lab.scenario.Scenario;

/**
 * The public figures by which a run is judged; times are nanoseconds.
 *
 * @param answerGrace a final answer counts until this long after the deadline
 * @param drainGrace sends to a draining or gone node stop within this time of being told
 * @param fallMultiple a cold node sent more than this multiple of what it can do ...
 * @param fallWindow ... for this long falls over
 * @param secondCopies whether two attempts of a request may be out at once
 * @param attempts of one request at most
 */
public record RuleParameters(
        long answerGrace,
        long drainGrace,
        double fallMultiple,
        long fallWindow,
        boolean secondCopies,
        int attempts) {

    /** Those of a scenario. */
    public static RuleParameters of(Scenario scenario) {
        Scenario.Rules rules = scenario.rules();
        return new RuleParameters(
                rules.answerGrace(),
                rules.drainGrace(),
                rules.fallMultiple(),
                rules.fallWindow(),
                scenario.allowed().secondCopies(),
                scenario.allowed().attempts());
    }
}
