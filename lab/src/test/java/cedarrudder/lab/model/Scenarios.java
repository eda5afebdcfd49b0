package cedarrudder.lab.model;

import static cedarrudder.lab.scenario.Draw.fixed;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.Scenario.Fault;
import cedarrudder.lab.scenario.Scenario.Shape;
import cedarrudder.lab.scenario.Scenario.Spread;
import cedarrudder.lab.scenario.Scenario.Trouble;
import java.util.ArrayList;
import java.util.List;

/** A small platform for tests, with the parts that a test cares about changed by hand. */
final class Scenarios {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    List<String> zones = List.of("a");
    int nodes = 4;
    int proxies = 1;
    int tiers = 1;
    double calls = 1;
    double share;
    double perSecond = 50;
    double seconds = 10;
    long lead;
    int mostRequests = 1_000_000;
    List<Scenario.Recorded> trace = List.of();
    double hintNoise = 0.1;
    double work = 10 * MS;
    Spread spread = Spread.EXPONENTIAL;
    double cv = 1;
    double attemptNoise;
    int cores = 1;
    double speed = 1;
    double speedSpread;
    int slots = 20;
    int queue = 10;
    double thrash;
    double coldFrom = 0.2;
    double coldTime = 5 * SECOND;
    double errorRate;
    boolean stopsCancelled = true;
    double handshakeWork = MS;
    double connections = 500;
    double probeWork = 0.1 * MS;
    double probesPerCore = 100;
    double reportPeriod = 100 * MS;
    double reportDelay = 50 * MS;
    double reportNoise;
    Scenario.Choke choke;
    boolean ask;
    double notice = SECOND;
    double silentNotice = 2 * SECOND;
    double add = 0.5 * SECOND;
    double retries = 1;
    boolean marksRepeats;
    double passesDeadline = 1;
    boolean probes = true;
    boolean peers = true;
    int attempts = 4;
    List<Scenario.RequestKind> classes;
    List<Scenario.Customer> tenants = List.of();
    final List<Fault> faults = new ArrayList<>();

    /** A class whose work is as set here. */
    Scenario.RequestKind kind(Idempotency effect, long aim, long deadline) {
        return new Scenario.RequestKind(
                effect.name(),
                effect,
                KeyScope.ALL,
                fixed(1),
                fixed(work),
                spread,
                fixed(cv),
                fixed(attemptNoise),
                aim,
                deadline,
                1,
                0,
                5 * SECOND);
    }

    Scenarios fault(Trouble trouble, double at, double length, double part, double size) {
        faults.add(
                new Fault(
                        trouble,
                        0,
                        fixed(at * SECOND),
                        fixed(length * SECOND),
                        fixed(part),
                        fixed(size)));
        return this;
    }

    Scenario make() {
        List<Scenario.RequestKind> kinds =
                classes != null ? classes : List.of(kind(Idempotency.SAFE, 200 * MS, SECOND));
        List<Scenario.Tier> all = new ArrayList<>();
        for (int i = 0; i < tiers; i++) {
            all.add(tier(i));
        }
        return new Scenario(
                "small",
                "",
                new Scenario.Run(fixed(seconds * SECOND), lead, mostRequests, 5 * SECOND),
                new Scenario.Arrivals(
                        trace.isEmpty() ? Shape.STEADY : Shape.TRACE,
                        share > 0 ? fixed(share) : null,
                        share > 0 ? null : fixed(perSecond),
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        trace,
                        hintNoise),
                new Scenario.Network(
                        zones,
                        fixed(0.2 * MS),
                        fixed(2 * MS),
                        fixed(0.5 * MS),
                        fixed(5 * MS),
                        fixed(0.1),
                        0),
                new Scenario.Front(fixed(2 * SECOND)),
                new Scenario.Clients(
                        fixed(retries),
                        fixed(0.6),
                        fixed(50 * MS),
                        true,
                        fixed(1),
                        2 * SECOND,
                        marksRepeats),
                new Scenario.Discovery(
                        ask,
                        fixed(notice),
                        fixed(silentNotice),
                        fixed(add),
                        fixed(0.5 * SECOND),
                        fixed(5),
                        fixed(50),
                        SECOND,
                        10 * SECOND),
                new Scenario.Allowed(probes, peers, true, true, true, attempts),
                new Scenario.Rules(2 * SECOND, 3, 3 * SECOND, 8 * MS),
                new Scenario.Goal(0.6, 0.1, 0.2, 0.1, 0.05),
                new Scenario.Prices(0.02, 0.01, 0.01, 0.03, 1),
                all,
                kinds,
                tenants,
                List.copyOf(faults));
    }

    private Scenario.Tier tier(int index) {
        Scenario.Kind kind =
                new Scenario.Kind(
                        "std",
                        fixed(1),
                        cores,
                        fixed(speed),
                        fixed(speedSpread),
                        fixed((double) slots / cores),
                        fixed((double) queue / cores),
                        fixed(thrash),
                        fixed(30),
                        fixed(coldFrom),
                        fixed(coldTime),
                        fixed(errorRate),
                        stopsCancelled,
                        0);
        return new Scenario.Tier(
                "tier" + index,
                fixed(nodes),
                false,
                fixed(proxies),
                1.0 / tiers,
                index == tiers - 1 ? fixed(0) : fixed(calls),
                fixed(2),
                passesDeadline,
                List.of(kind),
                new Scenario.Report(fixed(reportPeriod), fixed(reportDelay), fixed(reportNoise)),
                new Scenario.Connections(
                        fixed(2),
                        fixed(handshakeWork),
                        30 * SECOND,
                        120 * MS,
                        fixed(connections),
                        fixed(0.3)),
                new Scenario.Probing(fixed(probeWork), fixed(probesPerCore), 150 * MS),
                choke);
    }

    static Draw seconds(double seconds) {
        return fixed(seconds * SECOND);
    }
}
