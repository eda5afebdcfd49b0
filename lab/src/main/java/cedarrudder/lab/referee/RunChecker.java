package cedarrudder.lab.referee;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.result.RunResult.Breach;
import cedarrudder.lab.trace.Trace;
import cedarrudder.lab.trace.TracingBalancer;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Judges the balancers of a run, apart from the drivers around them. A driver answers a request
 * that its balancer has lost, and drops a second answer or what is sent too late; a trace of what
 * proxies write shows none of that. So each balancer gets a {@link TracingBalancer}, and what
 * proxies are told, take, send and answer is read there; of the run's own trace it reads the starts
 * and ends of proxies and nodes, what reaches nodes, and the work of attempts. A request's deadline
 * is the one that the balancer was told.
 *
 * <p>A run is given {@link #watched} as its policy and {@link #trace} as its trace. The run must
 * write {@code proxyStarted} after it has made the proxy's balancer and before it makes the next,
 * and numbers requests as requests are. One judge serves one run, on the run's thread.
 */
public final class RunChecker {

    /** The number of a proxy, which the run tells only when the proxy's balancer is made. */
    private static final class ProxyNumber {
        int number;
    }

    private final RuleChecker referee;
    private final FromRun fromRun = new FromRun();
    private long last;
    private ProxyNumber newest;

    /**
     * A judge for one run.
     *
     * @param origin the instant at which the run begins
     */
    public RunChecker(RuleParameters figures, long origin) {
        this.referee = new RuleChecker(figures, origin);
        this.last = origin;
    }

    /** The policy with its balancers under watch. */
    public Policy watched(Policy policy) {
        return new Policy() {
            @Override
            public String name() {
                return policy.name();
            }

            @Override
            public TierBudgets budgets() {
                return policy.budgets();
            }

            @Override
            public LoadBalancer create(
                    BalancerSettings settings,
                    RandomGenerator random,
                    LoadBalancer.Actions actions,
                    GroundTruth truth) {
                ProxyNumber own = new ProxyNumber();
                newest = own;
                return new TracingBalancer(
                        referee,
                        () -> own.number,
                        settings,
                        request -> 0,
                        actions,
                        tapped -> policy.create(settings, random, tapped, truth));
            }
        };
    }

    /** What the run is to write to. */
    public Trace trace() {
        return fromRun;
    }

    /** The first breach of each rule that was broken, by rule; to be asked when the run is over. */
    public List<Breach> breaches() {
        referee.finish(last);
        return referee.breaches();
    }

    /** A result with what was found. */
    public RunResult judged(RunResult result) {
        return result.judged(breaches());
    }

    /** What is read of the run's own trace. */
    private final class FromRun implements Trace {

        @Override
        public void proxyStarted(long now, int proxy, int tier) {
            last = now;
            newest.number = proxy;
            referee.proxyStarted(now, proxy, tier);
        }

        @Override
        public void proxyDied(long now, int proxy) {
            last = now;
            referee.proxyDied(now, proxy);
        }

        @Override
        public void told(
                long now,
                int proxy,
                long endpoint,
                int cell,
                int zone,
                EndpointStatus state,
                long startedAt) {
            last = now;
        }

        @Override
        public void toldWhole(long now, int proxy) {
            last = now;
        }

        @Override
        public void taken(
                long now,
                int proxy,
                long request,
                Idempotency effect,
                KeyScope scope,
                long repeatWindow,
                long deadline) {
            last = now;
        }

        @Override
        public void sent(
                long now, int proxy, long request, int attempt, long endpoint, double work) {
            last = now;
            referee.weighed(now, request, attempt, work);
        }

        @Override
        public void ended(long now, int proxy, long request, int attempt, Outcome outcome) {
            last = now;
        }

        @Override
        public void reached(long now, int proxy, long request, int attempt, long endpoint) {
            last = now;
            referee.reached(now, proxy, request, attempt, endpoint);
        }

        @Override
        public void answered(long now, int proxy, long request, Final how, int attempt) {
            last = now;
        }

        @Override
        public void callerLeft(long now, int proxy, long request) {
            last = now;
        }

        @Override
        public void nodeStarted(
                long now, long endpoint, double capacity, double coldShare, long warmAt) {
            last = now;
            referee.nodeStarted(now, endpoint, capacity, coldShare, warmAt);
        }

        @Override
        public void nodeEnded(long now, long endpoint) {
            last = now;
            referee.nodeEnded(now, endpoint);
        }
    }
}
