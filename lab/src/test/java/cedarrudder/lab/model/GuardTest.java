package cedarrudder.lab.model;

import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.result.RunResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Balancers broken on purpose end their run with a finding. */
public class GuardTest {

    private interface Fault {
        void on(Actions actions, long now, Request request);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                "threw java.lang.IllegalStateException: broken",
                (Fault)
                        (actions, now, request) -> {
                            throw new IllegalStateException("broken");
                        }
            },
            {"threw java.lang.StackOverflowError", (Fault) (actions, now, request) -> recurse(1)},
            {
                "loops: over",
                (Fault)
                        (actions, now, request) -> {
                            while (true) {
                                actions.log("again");
                            }
                        }
            },
            {"floods: ", (Fault) (actions, now, request) -> actions.scheduleTimer(now, 1)},
            {
                "used messages between proxies",
                (Fault) (actions, now, request) -> actions.sendToPeers(-1, new byte[1])
            },
            {
                "never came back",
                (Fault)
                        (actions, now, request) -> {
                            while (!Thread.currentThread().isInterrupted()) {
                                Thread.onSpinWait(); // until the run gives it up, so that the
                                // test leaves nothing behind
                            }
                        }
            },
        };
    }

    /** Never ends, which is the fault that the test plays. */
    @SuppressWarnings("InfiniteRecursion")
    private static long recurse(long depth) {
        return recurse(depth + 1) + depth;
    }

    @Test(dataProvider = "faults")
    public void endsTheRun(String finding, Fault fault) throws InterruptedException {
        Scenarios site = new Scenarios();
        site.peers = false;
        Guard guard = new Guard(10_000, 20_000, 5_000, 100, 0.5, false);
        Policy policy =
                Policies.of(
                        "broken",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onRequest(long now, Request request) {
                                        fault.on(actions, now, request);
                                    }

                                    @Override
                                    public void onTimer(long now, long token) {
                                        actions.scheduleTimer(now, token);
                                    }
                                });
        RunResult result =
                Model.run(site.make(), 1, policy, "broken", new NullTrace(), guard).result();
        assertTrue(result.finding().contains(finding), result.finding());
    }

    @Test
    public void endsARunWhoseBalancerCantBeMade() throws InterruptedException {
        Policy policy =
                Policies.of(
                        "broken",
                        (settings, random, actions) -> {
                            throw new IllegalArgumentException("no such settings");
                        });
        RunResult result =
                Model.run(
                                new Scenarios().make(),
                                1,
                                policy,
                                "broken",
                                new NullTrace(),
                                Guard.usual())
                        .result();
        assertTrue(result.finding().contains("no such settings"), result.finding());
    }
}
