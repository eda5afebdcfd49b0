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
 * A fault in the midst of what a timer does: the timer goes on, since nothing else would start it
 * again.
 */
public class InternalFaultTest {

    private static final long MS = Site.MS;

    private final Recorder did = new Recorder();
    private String broken = "";

    private final PrequalBalancer decide =
            new PrequalBalancer(
                    new Site().settings(),
                    new SplittableRandom(1),
                    (Actions)
                            Proxy.newProxyInstance(
                                    Actions.class.getClassLoader(),
                                    new Class<?>[] {Actions.class},
                                    (self, action, with) -> {
                                        if (action.getName().equals(broken)) {
                                            throw new IllegalStateException("broken on purpose");
                                        }
                                        return action.invoke(did, with);
                                    }));

    /**
     * Lets the one timer that was armed last come, with this action broken; returns the one armed
     * then.
     */
    private Timer fire(String action, long now) {
        Timer last = did.timers.get(did.timers.size() - 1);
        did.clear();
        broken = action;
        expectThrows(IllegalStateException.class, () -> decide.onTimer(now, last.token()));
        broken = "";
        assertEquals(
                did.timers.stream().map(Timer::token).toList(),
                List.of(last.token()),
                "armed again");
        return did.timers.get(0);
    }

    /** Detects a replica that, after one fault, never again asks for a load by itself. */
    @Test
    public void theTickGoesOnAfterAProbeThatFailed() {
        decide.onEndpoints(1000 * MS, EndpointListKind.FULL, Site.readyUpTo(2));
        Timer next = fire("sendProbe", 20_000 * MS);
        decide.onTimer(next.at(), next.token());
        assertEquals(did.probed.size(), 0, "its place is taken by the one that failed, for now");
        assertEquals(did.timers.size(), 2);
    }

    /**
     * Detects requests that wait in line for their deadlines, since one of them could not be told.
     */
    @Test
    public void thoseThatWaitAreToldAfterOneThatCouldNotBe() {
        decide.onEndpoints(
                1000 * MS,
                EndpointListKind.FULL,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)));
        for (int id = 1; id <= 2; id++) {
            decide.onRequest(1000 * MS, new Request(id, 0, 0, 2000 * MS, 0, false, false, 0));
        }
        Timer next = fire("reject", 1900 * MS);
        decide.onTimer(next.at(), next.token());
        assertEquals(did.refused, List.of(1L, 2L));
    }
}
