package cedarrudder.lab.baselines;

import static cedarrudder.lab.baselines.SmallWorld.MS;
import static cedarrudder.lab.baselines.SmallWorld.ORIGIN;
import static cedarrudder.lab.baselines.SmallWorld.SECOND;
import static cedarrudder.lab.baselines.SmallWorld.STEP;
import static cedarrudder.lab.baselines.SmallWorld.WORK;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.referee.RuleChecker;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.result.RunResult.Breach;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Sound balancers break no rule whatever happens; one broken on purpose is caught at its first
 * step.
 */
public class RulesTest {
    private static final long GRACE = 8 * MS;
    private static final int SEEDS = 12;

    private static RuleParameters figures(boolean secondCopies) {
        return new RuleParameters(GRACE, SECOND, 4, SECOND, secondCopies, 4);
    }

    @DataProvider
    public Object[][] sound() {
        return Policies.names().stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "sound")
    public void keepsTheRulesWhateverHappens(String policy) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            boolean secondCopies = seed % 2 == 0;
            RuleChecker referee = new RuleChecker(figures(secondCopies), ORIGIN);
            SmallWorld world =
                    new SmallWorld(
                            Policies.named(policy),
                            1 + (int) seed % 3,
                            false,
                            secondCopies,
                            seed,
                            referee);
            referee.finish(world.play(3000));
            assertEquals(referee.breaches(), List.of(), policy + ", seed " + seed);
            assertTrue(
                    world.served() > 500, policy + ", seed " + seed + ", served " + world.served());
        }
    }

    @Test(dataProvider = "sound")
    public void doesTheSameOnTheSameEvents(String policy) {
        List<String> transcripts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            SmallWorld world =
                    new SmallWorld(
                            Policies.named(policy),
                            2,
                            false,
                            true,
                            7,
                            new RuleChecker(figures(true), ORIGIN));
            world.play(1000);
            transcripts.add(world.transcript());
        }
        assertEquals(transcripts.get(0), transcripts.get(1));
    }

    @Test(dataProvider = "sound")
    public void servesAllOnAQuietDay(String policy) {
        SmallWorld world =
                new SmallWorld(
                        Policies.named(policy),
                        2,
                        true,
                        false,
                        1,
                        new RuleChecker(figures(false), ORIGIN));
        world.play(1000);
        assertEquals(world.served(), 1000);
    }

    /** Plays a quiet day of one proxy that a fault breaks, and returns what the referee found. */
    private static Breach caught(BrokenPolicies.Fault fault, Consumer<SmallWorld> script) {
        RuleChecker referee = new RuleChecker(figures(false), ORIGIN);
        SmallWorld world =
                new SmallWorld(Policies.named(fault.policy()), 1, true, false, 1, referee);
        script.accept(world);
        referee.finish(world.play(300));
        List<Breach> found = referee.breaches();
        assertEquals(found.size(), 1, fault + ": " + found);
        assertTrue(found.get(0).count() > 0);
        return found.get(0);
    }

    private static void assertCaught(
            BrokenPolicies.Fault fault, long at, long request, long endpoint, String what) {
        assertCaught(caught(fault, world -> {}), fault, at, request, endpoint, what);
    }

    private static void assertCaught(
            Breach found,
            BrokenPolicies.Fault fault,
            long at,
            long request,
            long endpoint,
            String what) {
        assertEquals(
                found, new Breach(fault.rule, at / 1e9, 0, request, endpoint, what, found.count()));
    }

    /**
     * The broken module takes the fifth of the requests that suit its fault; number n comes at n
     * steps.
     */
    @Test
    public void catchesOneThatLosesRequests() {
        assertCaught(
                BrokenPolicies.Fault.LOST,
                5 * STEP + SECOND + GRACE,
                5,
                -1,
                "no final answer in time");
    }

    @Test
    public void catchesOneThatAnswersLate() {
        assertCaught(
                BrokenPolicies.Fault.ANSWERED_LATE,
                5 * STEP + SECOND + GRACE,
                5,
                -1,
                "no final answer in time");
    }

    @Test
    public void catchesOneThatAnswersTwice() {
        assertCaught(BrokenPolicies.Fault.ANSWERED_TWICE, 5 * STEP, 5, -1, "answered twice");
    }

    @Test
    public void catchesOneThatSendsAfterTheEnd() {
        assertCaught(BrokenPolicies.Fault.SENT_AFTER_END, 5 * STEP, 5, 2, "sent after its end");
    }

    @Test
    public void catchesOneThatResendsUnsafe() {
        assertCaught(
                BrokenPolicies.Fault.RESENT_UNSAFE,
                22 * STEP + 2 * MS,
                22,
                3,
                "unsafe, sent again though it may have run");
    }

    @Test
    public void catchesOneThatLeavesTheCell() {
        assertCaught(
                BrokenPolicies.Fault.KEYED_OUTSIDE_GROUP,
                13 * STEP + 2 * MS,
                13,
                3,
                "keyed, sent again outside its cell");
    }

    @Test
    public void catchesOneThatResendsAfterTheWindow() {
        assertCaught(
                BrokenPolicies.Fault.KEYED_AFTER_WINDOW,
                9 * STEP + 502 * MS,
                9,
                2,
                "keyed, sent again after its window");
    }

    @Test
    public void catchesOneThatRefusesWhatMayHaveRun() {
        assertCaught(
                BrokenPolicies.Fault.REFUSED_AFTER_RUN,
                22 * STEP + MS,
                22,
                -1,
                "refused though it may have run");
    }

    @Test
    public void catchesOneWithTwoOutAtOnce() {
        assertCaught(
                BrokenPolicies.Fault.TWO_OUT,
                21 * STEP + 2 * MS,
                21,
                3,
                "two attempts out at once");
    }

    @Test
    public void catchesOneThatSendsToADrainedNode() {
        // From request 111 on the grace is over, and the fifth of these goes there.
        Breach found =
                caught(
                        BrokenPolicies.Fault.SENT_TO_DRAINED,
                        world -> world.at(ORIGIN + 100 * MS, () -> world.drain(3)));
        assertCaught(
                found,
                BrokenPolicies.Fault.SENT_TO_DRAINED,
                115 * STEP,
                115,
                3,
                "sent to a node known to drain or to be gone");
    }

    @Test
    public void catchesOneThatPushesAColdNodeOver() {
        long start = 95 * MS;
        Breach found =
                caught(
                        BrokenPolicies.Fault.COLD_PUSHED_OVER,
                        world -> world.at(ORIGIN + start, () -> world.restart(4)));
        // Every request goes there, from number 10 on: the first that is over what the node may
        // get.
        long request = 10;
        double came = WORK;
        while (came
                <= 4 * SECOND * (0.25 + 0.75 * (request * STEP - start) / (10.0 * SECOND)) + WORK) {
            came += WORK;
            request++;
        }
        assertCaught(
                found,
                BrokenPolicies.Fault.COLD_PUSHED_OVER,
                request * STEP,
                request,
                4,
                "a cold node was pushed over");
        assertEquals(found.count(), 1);
    }

    @Test
    public void everyFaultIsAPolicy() {
        assertEquals(Policies.brokenNames().size(), BrokenPolicies.Fault.values().length);
        assertTrue(
                Policies.brokenNames()
                        .containsAll(Set.of("broken-lost", "broken-cold-pushed-over")));
    }
}
