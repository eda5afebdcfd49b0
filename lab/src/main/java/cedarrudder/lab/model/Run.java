package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One run: its world, its clock and all that lives in it, but for the inside of proxies, which a
 * cast brings: modelled ones in virtual time, or processes. One thread uses it.
 */
public final class Run {

    /** Who plays the proxies. */
    public interface Cast {

        /** Makes a proxy, which is not started yet. */
        Proxy proxy(Run run, int number, int tier, int self, int zone);

        /** A node has started, ended, fallen silent or is heard again. */
        void changed(Node node);
    }

    private static final long SECOND = 1_000_000_000L;

    /**
     * After the last arrival's last deadline a run goes on for this long, so that late answers are
     * seen.
     */
    private static final long AFTERMATH = SECOND;

    /** How often the thread that watches over a run is told how far it has come, in events. */
    private static final int PROGRESS = 1024;

    public final Scenario scenario;
    public final long seed;
    final String variant;
    public final Trace trace;
    public final Streams streams;
    public final World world;
    final long start = Model.START;

    /** When it is over. */
    public final long until;

    public final EventQueue agenda;
    public final Network network;
    public final Ledger ledger;
    public final Directory directory;
    public final FrontBalancer front;
    final Faults faults;
    private final Cast cast;
    private final List<List<Node>> nodes = new ArrayList<>();
    private final List<List<Proxy>> proxies = new ArrayList<>();

    /** Requests that nodes hold, over all tiers. */
    long inFlight;

    /** Time inside balancers, as far as it is measured. */
    long decisionNanos;

    /** Events handled; for the thread that watches over the run. */
    volatile long progress;

    private volatile String finding = "";
    private long requests;
    private long endpoints;

    /**
     * Draws the world of a run; nothing happens yet.
     *
     * @param variant what results call who decides
     * @param now the instant of the agenda's clock, no later than {@link Model#START}, when the run
     *     begins
     */
    public Run(Scenario scenario, long seed, String variant, Trace trace, long now, Cast cast) {
        this.scenario = scenario;
        this.seed = seed;
        this.variant = variant;
        this.trace = trace;
        this.agenda = new EventQueue(now);
        this.cast = cast;
        this.streams = new Streams(seed);
        this.world = new World(scenario, streams);
        long longest = 0;
        for (Scenario.RequestKind kind : scenario.classes()) {
            longest = Math.max(longest, kind.deadline());
        }
        this.until = start + world.length + longest + scenario.rules().answerGrace() + AFTERMATH;
        this.network = new Network(world, streams.of(Streams.Concern.NETWORK, 0));
        this.ledger = new Ledger(this);
        this.directory = new Directory(this);
        this.front = new FrontBalancer(this);
        this.faults = new Faults(this);
        for (int i = 0; i < world.tiers.size(); i++) {
            List<Node> ofTier = new ArrayList<>();
            for (int k = 0; k < world.tiers.get(i).machines().size(); k++) {
                ofTier.add(new Node(this, i, k));
            }
            nodes.add(ofTier);
        }
    }

    /**
     * Puts everything in its place and starts the proxies; arrivals come from the run's start on.
     */
    public void begin() {
        build();
        Arrivals arrivals = new Arrivals(this);
        arrivals.next(start);
        agenda.at(start + SECOND, seconds);
    }

    /** Plays it to its end and says what it came to. */
    RunResult play() {
        begin();
        long handled = 0;
        while (finding.isEmpty() && agenda.next(until)) {
            if (++handled % PROGRESS == 0) {
                progress = handled;
            }
        }
        progress = handled;
        return result();
    }

    /** What it has come to by now. */
    public RunResult result() {
        for (List<Node> ofTier : nodes) {
            ofTier.forEach(Node::advance);
        }
        return ledger.result(faults.bands(), finding);
    }

    private final Task seconds =
            new Task() {
                @Override
                protected void run() {
                    int ended = (int) ((agenda.now() - start) / SECOND) - 1;
                    ledger.endOfSecond(ended, inFlight);
                    if (agenda.now() + SECOND <= until) {
                        agenda.at(agenda.now() + SECOND, this);
                    }
                }
            };

    private void build() {
        for (List<Node> ofTier : nodes) {
            for (Node node : ofTier) {
                node.begin(nextEndpoint());
                directory.listAtOnce(node);
            }
        }
        int number = 0;
        int zones = Math.max(1, scenario.network().zones().size());
        List<Proxy> first = new ArrayList<>();
        for (int i = 0; i < world.tiers.get(0).replicas(); i++) {
            first.add(cast.proxy(this, number++, 0, i, i % zones));
        }
        proxies.add(first);
        for (int tier = 1; tier < nodes.size(); tier++) {
            List<Proxy> own = new ArrayList<>();
            for (Node node : nodes.get(tier - 1)) {
                node.proxy = cast.proxy(this, number++, tier, node.index, node.zone);
                own.add(node.proxy);
            }
            proxies.add(own);
        }
        for (Proxy proxy : first) {
            proxy.start(() -> front.take(proxy));
        }
        for (List<Proxy> ofTier : proxies.subList(1, proxies.size())) {
            ofTier.forEach(proxy -> proxy.start(() -> {}));
        }
        faults.schedule();
    }

    /** A new node's id: below 2^32, never 0, and telling nothing of its age. */
    long nextEndpoint() {
        // An odd multiplier makes a permutation of the numbers below 2^32, and only 0 stays 0.
        return ++endpoints * 0x9E3779B1L & 0xFFFFFFFFL;
    }

    public long nextRequest() {
        return ++requests;
    }

    boolean writes(int classIndex) {
        return scenario.classes().get(classIndex).effect() != Idempotency.SAFE;
    }

    public List<Proxy> proxiesTo(int tier) {
        return Collections.unmodifiableList(proxies.get(tier));
    }

    public List<Node> nodesOf(int tier) {
        return Collections.unmodifiableList(nodes.get(tier));
    }

    void changed(Node node) {
        cast.changed(node);
    }

    /** Ends the run early; the first finding stands. */
    public void end(String why) {
        if (finding.isEmpty()) {
            finding = why;
        }
    }

    public boolean ended() {
        return !finding.isEmpty();
    }
}
