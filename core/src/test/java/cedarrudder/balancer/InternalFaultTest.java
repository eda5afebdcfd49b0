package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.balancer.Recorder.Timer;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Tests a fault while a timer runs: the timer must be scheduled again, since nothing else would
 * restart it.
 */
public class InternalFaultTest {

    private static final long MS = Site.MS;

    private final Recorder recorder = new Recorder();
    private String failingAction = "";

    private final PrequalBalancer balancer =
            new PrequalBalancer(
                    new Site().settings(),
                    new SplittableRandom(1),
                    (Actions)
                            Proxy.newProxyInstance(
                                    Actions.class.getClassLoader(),
                                    new Class<?>[] {Actions.class},
                                    (self, action, arguments) -> {
                                        if (action.getName().equals(failingAction)) {
                                            throw new IllegalStateException("injected fault");
                                        }
                                        return action.invoke(recorder, arguments);
                                    }));

    /**
     * Fires the timer that was scheduled last while the given action throws; returns the timer that
     * was then scheduled.
     */
    private Timer fireWithFault(String action, long now) {
        Timer last = recorder.timers.get(recorder.timers.size() - 1);
        recorder.clear();
        failingAction = action;
        expectThrows(IllegalStateException.class, () -> balancer.onTimer(now, last.token()));
        failingAction = "";
        assertEquals(
                recorder.timers.stream().map(Timer::token).toList(),
                List.of(last.token()),
                "scheduled again");
        return recorder.timers.get(0);
    }

    /** A replica must not stop sending periodic probes after one fault. */
    @Test
    public void periodicProbesContinueAfterAFailedOne() {
        balancer.onEndpoints(1000 * MS, EndpointListKind.FULL, Site.readyUpTo(2));
        Timer next = fireWithFault("sendProbe", 20_000 * MS);
        balancer.onTimer(next.at(), next.token());
        assertEquals(recorder.probed.size(), 0, "the probe that failed still counts as sent");
        assertEquals(recorder.timers.size(), 2);
    }

    /**
     * Queued requests must not wait for their deadlines because one of them could not be rejected.
     */
    @Test
    public void queuedRequestsAreRejectedAfterOneRejectionFailed() {
        balancer.onEndpoints(
                1000 * MS,
                EndpointListKind.FULL,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)));
        for (int id = 1; id <= 2; id++) {
            balancer.onRequest(1000 * MS, new Request(id, 0, 0, 2000 * MS, 0, false, false, 0));
        }
        Timer next = fireWithFault("reject", 1900 * MS);
        balancer.onTimer(next.at(), next.token());
        assertEquals(recorder.rejected, List.of(1L, 2L));
    }
}
