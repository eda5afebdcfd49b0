package cedarrudder.lab.model;

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
                LoadBalancer.BalancerSettings settings,
                RandomGenerator random,
                LoadBalancer.Actions actions);
    }

    static Policy of(String name, Maker maker) {
        return new Policy() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public LoadBalancer create(
                    LoadBalancer.BalancerSettings settings,
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
        public void endpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
            for (Endpoint entry : entries) {
                if (first == 0 && entry.state() == EndpointStatus.READY) {
                    first = entry.id();
                }
            }
        }

        @Override
        public void endpointsFailed(long now) {}

        @Override
        public void request(long now, Request request) {
            actions.send(request.id(), first, 0);
        }

        @Override
        public void firstByte(long now, long request, int attempt, long endpoint, long latency) {}

        @Override
        public void outcome(
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
        public void clientLeft(long now, long request) {}

        @Override
        public void timer(long now, long token) {}

        @Override
        public void probed(
                long now, long endpoint, Outcome outcome, long latency, LoadReport load) {}

        @Override
        public void message(long now, int from, byte[] message) {}
    }
}
