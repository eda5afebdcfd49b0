package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import java.util.List;
import java.util.random.RandomGenerator;

/** Policies for tests. */
final class Policies {

    static final Policy DECIDE =
            of(
                    "decide",
                    (settings, random, actions) -> new PrequalBalancer(settings, random, actions));

    private Policies() {}

    interface Maker {
        LoadBalancer make(
                BalancerSettings settings, RandomGenerator random, LoadBalancer.Actions actions);
    }

    static Policy of(String name, Maker maker) {
        return new Policy() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public LoadBalancer create(
                    BalancerSettings settings,
                    RandomGenerator random,
                    LoadBalancer.Actions actions,
                    GroundTruth truth) {
                return maker.make(settings, random, actions);
            }
        };
    }

    /**
     * One that sends each request to the first node of its list, once, and fails it when that
     * fails.
     */
    static class First implements LoadBalancer {
        final Actions actions;
        long first;

        First(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
            for (Endpoint entry : entries) {
                if (first == 0 && entry.status() == EndpointStatus.READY) {
                    first = entry.id();
                }
            }
        }

        @Override
        public void onEndpointsUnavailable(long now) {}

        @Override
        public void onRequest(long now, Request request) {
            actions.startAttempt(request.id(), first, 0);
        }

        @Override
        public void onFirstByte(long now, long request, int attempt, long endpoint, long latency) {}

        @Override
        public void onAttemptEnded(
                long now,
                long request,
                int attempt,
                long endpoint,
                Outcome outcome,
                long latency,
                boolean settled,
                LoadReport load) {
            if (!settled) {
                actions.fail(request);
            }
        }

        @Override
        public void onClientLeft(long now, long request) {}

        @Override
        public void onTimer(long now, long token) {}

        @Override
        public void onProbeEnded(
                long now, long endpoint, Outcome outcome, long latency, LoadReport load) {}

        @Override
        public void onPeerMessage(long now, int from, byte[] message) {}
    }
}
