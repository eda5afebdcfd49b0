package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Whom replicas send to: few each, and all endpoints between them. */
class EndpointSubsetTest {

    /** The endpoints that each of some replicas sends to, over a hundred quick calls. */
    private static Map<Integer, Set<Long>> used(int replicas, int endpoints) {
        Map<Integer, Set<Long>> used = new HashMap<>();
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        site.replicas = replicas;
        for (int replica = 0; replica < replicas; replica++) {
            site.self = replica;
            Recorder did = new Recorder();
            PrequalBalancer decide =
                    new PrequalBalancer(site.settings(), new SplittableRandom(replica), did);
            long now = 100 * Site.SECOND;
            decide.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(endpoints));
            for (int id = 1; id <= 100; id++) {
                now += 10 * Site.MS;
                decide.onRequest(now, new Request(id, 0, 0, now + Site.SECOND, 0, false, false, 0));
                Recorder.Sent sent = did.sent.get(id - 1);
                if (id > 2) {
                    Recorder.Sent done = did.sent.get(id - 3);
                    long lasted = 20 * Site.MS;
                    decide.onAttemptEnded(
                            now,
                            done.request(),
                            0,
                            done.endpoint(),
                            Outcome.OK,
                            lasted,
                            true,
                            null);
                }
                used.computeIfAbsent(replica, c -> new HashSet<>()).add(sent.endpoint());
            }
        }
        return used;
    }

    @Test
    void manyCopiesConnectToFewEndpointsEachAndToAllOfThemEvenly() {
        Map<Long, Integer> replicasOf = new HashMap<>();
        used(60, 80)
                .forEach(
                        (replica, endpoints) -> {
                            assertTrue(
                                    endpoints.size() <= 8, replica + " uses " + endpoints.size());
                            endpoints.forEach(e -> replicasOf.merge(e, 1, Integer::sum));
                        });
        assertEquals(80, replicasOf.size(), "every endpoint is of use to someone");
        assertTrue(replicasOf.values().stream().allMatch(n -> n <= 8), replicasOf.toString());
    }

    @Test
    void aLoneCopyLeavesNoEndpointUnused() {
        assertEquals(12, used(1, 12).get(0).size());
    }
}
