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

/** Tests which endpoints replicas send to: few per replica, and all endpoints between them. */
class EndpointSubsetTest {

    /** Returns the endpoints that each replica sends to, over a hundred fast requests. */
    private static Map<Integer, Set<Long>> usedEndpoints(int replicas, int endpoints) {
        Map<Integer, Set<Long>> usedEndpoints = new HashMap<>();
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        site.replicas = replicas;
        for (int replica = 0; replica < replicas; replica++) {
            site.self = replica;
            Recorder recorder = new Recorder();
            PrequalBalancer balancer =
                    new PrequalBalancer(site.settings(), new SplittableRandom(replica), recorder);
            long now = 100 * Site.SECOND;
            balancer.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(endpoints));
            for (int id = 1; id <= 100; id++) {
                now += 10 * Site.MS;
                balancer.onRequest(
                        now, new Request(id, 0, 0, now + Site.SECOND, 0, false, false, 0));
                Recorder.Sent sent = recorder.sent.get(id - 1);
                if (id > 2) {
                    Recorder.Sent ended = recorder.sent.get(id - 3);
                    long latency = 20 * Site.MS;
                    balancer.onAttemptEnded(
                            now,
                            ended.request(),
                            0,
                            ended.endpoint(),
                            Outcome.OK,
                            latency,
                            true,
                            null);
                }
                usedEndpoints.computeIfAbsent(replica, c -> new HashSet<>()).add(sent.endpoint());
            }
        }
        return usedEndpoints;
    }

    @Test
    void manyReplicasUseFewEndpointsEachAndAllEvenly() {
        Map<Long, Integer> replicasOf = new HashMap<>();
        usedEndpoints(60, 80)
                .forEach(
                        (replica, endpoints) -> {
                            assertTrue(
                                    endpoints.size() <= 8, replica + " uses " + endpoints.size());
                            endpoints.forEach(e -> replicasOf.merge(e, 1, Integer::sum));
                        });
        assertEquals(80, replicasOf.size(), "every endpoint is used by some replica");
        assertTrue(replicasOf.values().stream().allMatch(n -> n <= 8), replicasOf.toString());
    }

    @Test
    void singleReplicaUsesAllEndpoints() {
        assertEquals(12, usedEndpoints(1, 12).get(0).size());
    }
}
