package cedarrudder.lab.benchmark;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.ArrayList;
import java.util.List;

/** The platform that benchmarks take place on: one tier of warm nodes, two classes, two tenants. */
final class Platform {

    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    private static final int CELL = 20;

    private Platform() {}

    /** What one of this many replicas is told at its start. */
    static BalancerSettings settings(int replicas, int self) {
        return new BalancerSettings(
                replicas,
                self,
                0,
                0,
                1,
                false,
                List.of(
                        new RequestClass(
                                "lookup",
                                Idempotency.SAFE,
                                KeyScope.ALL,
                                150 * MS,
                                600 * MS,
                                3,
                                0,
                                0,
                                false),
                        new RequestClass(
                                "order",
                                Idempotency.UNSAFE,
                                KeyScope.ALL,
                                400 * MS,
                                1500 * MS,
                                5,
                                0,
                                0,
                                false)),
                List.of(new Tenant("shop", 0.6, 0), new Tenant("clinic", 0.4, 0)),
                new Limits(true, true, true, true, 4, 2 * SECOND, 120 * MS, 30 * SECOND),
                new SafetyRules(2 * SECOND, 0.15, 20 * SECOND, 3, 3 * SECOND, 10 * SECOND),
                new ServiceGoal(0.6, 0.2, 0.2, 0, 0.05),
                new ServicePrices(0.01, 0));
    }

    /** A list of this many ready nodes, each with an entry object of its own. */
    static List<Endpoint> nodes(int count) {
        List<Endpoint> list = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            list.add(node(i + 1, EndpointStatus.READY));
        }
        return list;
    }

    /** One line of the list; nodes are numbered from 1. */
    static Endpoint node(int number, EndpointStatus state) {
        return new Endpoint(number, 0, 0, number / CELL, state, 1, 0);
    }
}
