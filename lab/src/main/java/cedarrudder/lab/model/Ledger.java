package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.result.RunResult.ClassResult;
import cedarrudder.lab.result.RunResult.Group;
import cedarrudder.lab.result.RunResult.Latency;
import cedarrudder.lab.result.RunResult.NodeResult;
import cedarrudder.lab.result.RunResult.Second;
import cedarrudder.lab.result.RunResult.TenantResult;
import cedarrudder.lab.result.RunResult.TierResult;
import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What is counted in a run, and the result that comes of it. */
public final class Ledger {

    /** Latencies are kept to three digits, in microseconds. */
    private static final int DIGITS = 3;

    private static final long SECOND = 1_000_000_000L;

    /** Counts of one tier's proxies. */
    public static final class OfTier {
        public long requests;
        public long attempts;
        public long replicas;
        public long refused;
        public long failed;
        public long probes;
        int fallen;
        public final long[] outcomes = new long[Outcome.values().length];
    }

    /** Counts of one class. */
    private static final class OfClass {
        long requests;
        long inAim;
        final long[] ends = new long[ClientRequest.End.values().length];
        final Histogram latency = new Histogram(DIGITS);
    }

    public final OfTier[] tiers;
    long peerBytes;
    private final Run run;
    private final List<Tally> nodes = new ArrayList<>();
    private final OfClass[] classes;
    private final long[] tenantRequests;
    private final PriorityLedger worth;
    private final Histogram latency = new Histogram(DIGITS);
    private final double[] usefulWork;
    private final long[][] attempts;
    private final long[] tries;

    /**
     * First tries by class, those past their tenants' shares behind the others; and those unserved.
     */
    private final long[] groupTries;

    private final long[] groupUnserved;
    private final long[] inFlight;
    private final double shareBehind;
    private double askedWork;
    private double lateUnserved;
    private long firstTries;

    Ledger(Run run) {
        this.run = run;
        tiers = new OfTier[run.world.tiers.size()];
        Arrays.setAll(tiers, i -> new OfTier());
        classes = new OfClass[run.scenario.classes().size()];
        Arrays.setAll(classes, i -> new OfClass());
        tenantRequests = new long[run.scenario.tenants().size()];
        usefulWork = new double[tiers.length];
        shareBehind = run.world.shareBehind();
        int seconds = (int) ((run.until - run.start) / SECOND) + 1;
        worth = new PriorityLedger(run.world, seconds);
        attempts = new long[tiers.length][seconds];
        tries = new long[seconds];
        groupTries = new long[2 * classes.length];
        groupUnserved = new long[groupTries.length];
        inFlight = new long[seconds];
    }

    /** Opens the count of a machine. */
    Tally node(Node node) {
        Tally tally = new Tally(node, Math.max(run.start, run.agenda.now()));
        if (node.tally != null) {
            node.tally.until = run.agenda.now();
        }
        nodes.add(tally);
        return tally;
    }

    private int second(long instant) {
        return (int) ((instant - run.start) / SECOND);
    }

    public void attempt(long now, int tier) {
        attempts[tier][second(now)]++;
    }

    /** Notes what nodes hold at the end of a second. */
    void endOfSecond(int second, long held) {
        inFlight[second] = held;
    }

    private boolean counts(ClientRequest ask) {
        return ask.startedAt - run.start >= run.scenario.run().lead();
    }

    /** A first try. */
    void asked(ClientRequest ask) {
        firstTries++;
        tries[second(ask.startedAt)]++;
        askedWork +=
                ask.work * run.world.tiers.get(0).workShare()
                        + shareBehind * run.world.classes.get(ask.classIndex).work();
        if (!counts(ask)) {
            return;
        }
        OfClass kind = classes[ask.classIndex];
        kind.requests++;
        ask.pastShare = worth.isFull(second(ask.startedAt), ask.tenant);
        groupTries[group(ask)]++;
        worth.asked(second(ask.startedAt), ask.tenant, ask.classIndex, ask.weight);
        if (tenantRequests.length > 0) {
            tenantRequests[ask.tenant]++;
        }
    }

    private int group(ClientRequest ask) {
        return ask.classIndex + (ask.pastShare ? classes.length : 0);
    }

    /** Work that went into an answer that a client got. */
    void useful(Job answer) {
        answer.addSpent(usefulWork);
    }

    /** The end of a first try with its repeats. */
    void ended(ClientRequest ask, ClientRequest.End how) {
        if (!counts(ask)) {
            return;
        }
        long took = run.agenda.now() - ask.startedAt;
        Scenario.RequestKind kind = run.scenario.classes().get(ask.classIndex);
        OfClass count = classes[ask.classIndex];
        count.ends[how.ordinal()]++;
        if (how != ClientRequest.End.SERVED) {
            groupUnserved[group(ask)]++;
            lateUnserved += took > kind.aim() ? ask.weight : 0;
            return;
        }
        count.latency.recordValue(took / 1000);
        latency.recordValue(took / 1000);
        boolean inAim = took <= kind.aim();
        count.inAim += inAim ? 1 : 0;
        worth.served(
                second(ask.startedAt),
                ask.tenant,
                ask.classIndex,
                ask.weight * (inAim ? 1 : kind.lateWorth()));
    }

    // ---- the result ----

    RunResult result(List<RunResult.Band> faults, String finding) {
        Scenario scenario = run.scenario;
        PriorityLedger.Sum all = worth.sum();
        double whole = share(all.served(), all.asked());
        double worstWindow = Math.min(whole, worstWindow(all));
        double worstClass = whole;
        long requests = 0;
        List<ClassResult> ofClasses = new ArrayList<>();
        for (int i = 0; i < classes.length; i++) {
            OfClass count = classes[i];
            requests += count.requests;
            double goodput = share(all.servedOfClass()[i], all.askedOfClass()[i]);
            worstClass = Math.min(worstClass, goodput);
            long servedCount = count.ends[ClientRequest.End.SERVED.ordinal()];
            ofClasses.add(
                    new ClassResult(
                            scenario.classes().get(i).name(),
                            count.requests,
                            count.inAim,
                            servedCount - count.inAim,
                            count.ends[ClientRequest.End.REFUSED.ordinal()],
                            count.ends[ClientRequest.End.FAILED.ordinal()],
                            count.ends[ClientRequest.End.UNANSWERED.ordinal()],
                            goodput,
                            latency(count.latency)));
        }
        double worstTenant = whole;
        List<TenantResult> ofTenants = new ArrayList<>();
        for (int i = 0; i < tenantRequests.length; i++) {
            double goodput = share(all.servedOfTenant()[i], all.askedOfTenant()[i]);
            worstTenant = Math.min(worstTenant, goodput);
            ofTenants.add(
                    new TenantResult(scenario.tenants().get(i).name(), tenantRequests[i], goodput));
        }
        long attemptsAll = 0;
        long probesAll = 0;
        for (OfTier tier : tiers) {
            attemptsAll += tier.attempts;
            probesAll += tier.probes;
        }
        double tries = Math.max(1, firstTries);
        RunResult.Charges charges = charges(probesAll / tries);
        Scenario.Goal goal = scenario.goal();
        double goodput =
                goal.whole() * whole
                        + goal.worstWindow() * worstWindow
                        + goal.worstClass() * worstClass
                        + goal.worstTenant() * worstTenant
                        - charges.sum();
        return new RunResult(
                scenario.name(),
                run.variant,
                run.seed,
                requests,
                goodput,
                whole,
                worstWindow,
                worstClass,
                worstTenant,
                charges,
                latency(latency),
                attemptsAll / tries,
                probesAll / tries,
                ofClasses,
                ofTenants,
                groups(),
                tierResults(),
                series(all),
                nodeResults(),
                faults,
                List.of(),
                finding);
    }

    private static double share(double part, double of) {
        return of == 0 ? 1 : part / of;
    }

    /** Windows begin at each whole second from the lead on, and end before arrivals do. */
    private double worstWindow(PriorityLedger.Sum all) {
        int length = (int) Math.max(1, run.scenario.run().window() / SECOND);
        int first = (int) (run.scenario.run().lead() / SECOND);
        int last = (int) (run.world.length / SECOND) - length;
        double worst = 1;
        for (int from = first; from <= last; from++) {
            double askedHere = 0;
            double servedHere = 0;
            for (int i = from; i < from + length; i++) {
                askedHere += all.askedIn()[i];
                servedHere += all.servedIn()[i];
            }
            worst = Math.min(worst, share(servedHere, askedHere));
        }
        return worst;
    }

    private RunResult.Charges charges(double probes) {
        Scenario.Prices prices = run.scenario.prices();
        double wasted = 0;
        double overdriven = 0;
        for (int i = 0; i < tiers.length; i++) {
            wasted += work(i) - usefulWork[i];
            World.Choking choking = run.world.tiers.get(i).choking();
            if (choking != null) {
                int tier = i;
                double choked = nodes.stream().filter(n -> n.tier == tier && n.chokes > 0).count();
                overdriven += choking.price() * choked / run.world.tiers.get(i).machines().size();
            }
        }
        return new RunResult.Charges(
                prices.waste() * Math.max(0, share(wasted, Math.max(1, askedWork))),
                prices.probe() * probes,
                prices.peer() * peerBytes / 256.0 / Math.max(1, firstTries),
                prices.lateFail()
                        * (worth.askedAtAll() == 0 ? 0 : lateUnserved / worth.askedAtAll()),
                prices.overdriven() * overdriven);
    }

    private double work(int tier) {
        double work = 0;
        for (Tally node : nodes) {
            work += node.tier == tier ? node.work : 0;
        }
        return work;
    }

    private static Latency latency(Histogram histogram) {
        return new Latency(
                millis(histogram, 50),
                millis(histogram, 90),
                millis(histogram, 99),
                millis(histogram, 99.9),
                millis(histogram, 100));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? 0
                : histogram.getValueAtPercentile(percentile) / 1000.0;
    }

    private List<Group> groups() {
        double[] perWork = new double[classes.length];
        double best = 0;
        for (int i = 0; i < perWork.length; i++) {
            perWork[i] = run.scenario.classes().get(i).worth() / run.world.classes.get(i).work();
            best = Math.max(best, perWork[i]);
        }
        List<Group> groups = new ArrayList<>();
        for (int i = 0; i < groupTries.length; i++) {
            int kind = i % classes.length;
            boolean past = i >= classes.length;
            groups.add(
                    new Group(
                            run.scenario.classes().get(kind).name(),
                            past,
                            best == 0
                                    ? 0
                                    : perWork[kind]
                                            / best
                                            * (past ? run.scenario.goal().overShareWorth() : 1),
                            groupTries[i],
                            groupUnserved[i]));
        }
        return groups;
    }

    private List<TierResult> tierResults() {
        List<TierResult> results = new ArrayList<>();
        for (int i = 0; i < tiers.length; i++) {
            World.Tier tier = run.world.tiers.get(i);
            OfTier count = tiers[i];
            int chokes = 0;
            for (Tally node : nodes) {
                chokes += node.tier == i ? node.chokes : 0;
            }
            double work = work(i);
            results.add(
                    new TierResult(
                            tier.name(),
                            tier.machines().size(),
                            tier.replicas(),
                            tier.visits(),
                            count.requests,
                            count.attempts,
                            count.replicas,
                            Arrays.stream(count.outcomes).boxed().toList(),
                            count.refused,
                            count.failed,
                            count.probes,
                            work / SECOND,
                            work == 0 ? 0 : Math.max(0, work - usefulWork[i]) / work,
                            chokes,
                            count.fallen));
        }
        return results;
    }

    private List<Second> series(PriorityLedger.Sum all) {
        List<Second> seconds = new ArrayList<>();
        for (int i = 0; i < tries.length; i++) {
            int second = i;
            List<Long> byTier = Arrays.stream(attempts).map(tier -> tier[second]).toList();
            seconds.add(
                    new Second(
                            all.askedIn()[i],
                            all.servedIn()[i],
                            tries[i],
                            byTier.stream().mapToLong(Long::longValue).sum(),
                            byTier,
                            inFlight[i]));
        }
        return seconds;
    }

    private List<NodeResult> nodeResults() {
        List<NodeResult> results = new ArrayList<>();
        long now = run.agenda.now();
        for (Tally node : nodes) {
            double time = Math.max(1, (node.until < 0 ? now : node.until) - node.since);
            results.add(
                    new NodeResult(
                            run.world.tiers.get(node.tier).name(),
                            node.endpoint,
                            node.kind,
                            node.speed,
                            node.busy / time / node.cores,
                            node.served,
                            node.declined,
                            node.held / time,
                            node.chokes));
        }
        return results;
    }
}
