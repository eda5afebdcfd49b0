package cedarrudder.lab.model;

import cedarrudder.Balancer;
import cedarrudder.Decide;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.policy.Truth;
import java.util.List;
import java.util.random.RandomGenerator;

/** Policies for tests. */
final class Policies {

    static final Policy DECIDE =
            of("decide", (settings, random, actions) -> new Decide(settings, random, actions));

    private Policies() {}

    interface Maker {
        Balancer make(Balancer.Settings settings, RandomGenerator random, Balancer.Actions actions);
    }

    static Policy of(String name, Maker maker) {
        return new Policy() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Balancer create(
                    Balancer.Settings settings,
                    RandomGenerator random,
                    Balancer.Actions actions,
                    Truth truth) {
                return maker.make(settings, random, actions);
            }
        };
    }

    /**
     * One that sends each request to the first node of its list, once, and fails it when that
     * fails.
     */
    static class First implements Balancer {
        final Actions actions;
        long first;

        First(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void endpoints(long now, ListKind kind, List<Endpoint> entries) {
            for (Endpoint entry : entries) {
                if (first == 0 && entry.state() == State.READY) {
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
                Load load) {
            if (!settled) {
                actions.fail(request);
            }
        }

        @Override
        public void clientLeft(long now, long request) {}

        @Override
        public void timer(long now, long token) {}

        @Override
        public void probed(long now, long endpoint, Outcome outcome, long latency, Load load) {}

        @Override
        public void message(long now, int from, byte[] message) {}
    }
}
