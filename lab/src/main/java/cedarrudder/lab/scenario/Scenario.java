package cedarrudder.lab.scenario;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import java.util.List;

/**
 * A platform and what happens to it: all that the model or the emulator plays. Times are
 * nanoseconds, shares run from 0 to 1, work is time on a core of speed 1 (the yardstick). Figures
 * that are a {@link Draw} are drawn once for each run, or where it says so for each node, and
 * neither is told to the decisions under test.
 *
 * @param name a short name, for reports
 * @param about what the scenario is for, a sentence
 * @param tiers at least one; clients call the first, nodes of each call the next
 * @param classes at least one; their shares sum to 1 after drawing
 * @param tenants may be empty
 * @param faults in the order of the file; faults of the same instant begin in this order
 * @param wires what goes wrong on sockets; the model, which has none, plays none of it
 */
public record Scenario(
        String name,
        String about,
        Run run,
        Arrivals arrivals,
        Network network,
        Front front,
        Clients clients,
        Discovery discovery,
        Allowed allowed,
        Rules rules,
        Goal goal,
        Prices prices,
        List<Tier> tiers,
        List<RequestKind> classes,
        List<Customer> tenants,
        List<Fault> faults,
        List<Wire> wires) {

    /** One in which nothing goes wrong on sockets. */
    public Scenario(
            String name,
            String about,
            Run run,
            Arrivals arrivals,
            Network network,
            Front front,
            Clients clients,
            Discovery discovery,
            Allowed allowed,
            Rules rules,
            Goal goal,
            Prices prices,
            List<Tier> tiers,
            List<RequestKind> classes,
            List<Customer> tenants,
            List<Fault> faults) {
        this(
                name, about, run, arrivals, network, front, clients, discovery, allowed, rules,
                goal, prices, tiers, classes, tenants, faults, List.of());
    }

    /**
     * How long arrivals come, and what of it counts.
     *
     * @param length from the first arrival that may come to the last
     * @param lead arrivals before this instant are played but not counted
     * @param mostRequests a run is cut short before it holds more first tries
     * @param window the length of a window in the worst-window figure
     */
    public record Run(Draw length, long lead, int mostRequests, long window) {}

    /** How the rate of arrivals moves. */
    public enum Shape {
        /** A Poisson process of one rate. */
        STEADY,
        /** Its rate swings: bursts and lulls of random length about the mean. */
        BURSTY,
        /** It rises evenly to a peak, stays, and falls back. */
        PAYDAY,
        /** The arrivals of a recorded trace. */
        TRACE
    }

    /**
     * First tries of clients, drawn ahead: they do not wait for answers.
     *
     * @param share the load as a share of what the tier that runs out first can do when warm; null
     *     where the rate is given
     * @param perSecond first tries a second; null where the share is given
     * @param swing BURSTY: how far the rate swings about its mean, 0 to 1
     * @param burst BURSTY: the mean length of a burst or lull
     * @param peak PAYDAY: the rate at the peak as a multiple of the mean before it
     * @param riseAt PAYDAY: when the rise begins
     * @param rise PAYDAY: how long it rises, and falls
     * @param hold PAYDAY: how long the peak stays
     * @param trace TRACE: the arrivals, by time; else empty
     * @param hintNoise the standard deviation of the logarithm of cost hints about the truth;
     *     negative: no hints are given
     */
    public record Arrivals(
            Shape shape,
            Draw share,
            Draw perSecond,
            Draw swing,
            Draw burst,
            Draw peak,
            Draw riseAt,
            Draw rise,
            Draw hold,
            List<Recorded> trace,
            double hintNoise) {}

    /**
     * One line of a recorded trace.
     *
     * @param at the time since the start
     * @param classIndex the class
     * @param tenant the tenant; 0 where there are none
     * @param work the work over all tiers; 0: drawn from the class
     */
    public record Recorded(long at, int classIndex, int tenant, long work) {}

    /**
     * Delays, one way.
     *
     * @param zones the names of the zones; nodes and proxies are spread over them evenly
     * @param same between a proxy and a node of one zone
     * @param cross between zones
     * @param client between a client and a proxy
     * @param peer between proxies
     * @param jitter each message takes up to this share longer
     * @param peerLoss the share of messages between proxies that are lost
     */
    public record Network(
            List<String> zones,
            Draw same,
            Draw cross,
            Draw client,
            Draw peer,
            Draw jitter,
            double peerLoss) {}

    /**
     * What spreads clients over the proxies. It goes on sending to a dead proxy until it notices.
     */
    public record Front(Draw notice) {}

    /**
     * What clients do when a try fails. They repeat what a class allows: a safe request after any
     * failure; one that is keyed for all nodes within its window; any after a refusal, or where no
     * proxy could be reached.
     *
     * @param retries the most repeats; drawn for each run, rounded down
     * @param tryShare a try is given up after this share of the class's deadline
     * @param backoff the first wait
     * @param exponential whether waits double
     * @param honour the share of clients that come back no sooner than they were told
     * @param maxRetryAfter they honour no longer wait
     * @param marksRepeats whether a repeat is marked
     */
    public record Clients(
            Draw retries,
            Draw tryShare,
            Draw backoff,
            boolean exponential,
            Draw honour,
            long maxRetryAfter,
            boolean marksRepeats) {}

    /**
     * The service that lists nodes. It knows only whether a process runs, drains or is gone.
     *
     * @param ask whether a proxy is told only what it asks for
     * @param notice how long until the end of a process is known; for each event
     * @param silentNotice how long where the node fell silent instead
     * @param add how long until a start is known
     * @param period changes go out at multiples of this
     * @param capacity calls served at once a second: one call takes 1 / capacity seconds of its one
     *     worker
     * @param callLines a call costs as much as sending this many entries
     * @param timeout a call that waited longer has failed
     * @param askWithin a proxy must have asked within this time, see {@code Balancer.Safety}
     */
    public record Discovery(
            boolean ask,
            Draw notice,
            Draw silentNotice,
            Draw add,
            Draw period,
            Draw capacity,
            Draw callLines,
            long timeout,
            long askWithin) {}

    /** What the platform permits, as in {@code Balancer.Limits}. */
    public record Allowed(
            boolean probes,
            boolean peers,
            boolean cancel,
            boolean secondCopies,
            boolean retryAfter,
            int attempts) {}

    /**
     * The figures of the rules.
     *
     * @param drainGrace sends to a draining or gone node stop within this time of being told
     * @param fallMultiple a cold node sent more than this multiple of what it can do ...
     * @param fallWindow ... for this long falls over and stays down
     * @param answerGrace a final answer counts until this long after the client's deadline
     */
    public record Rules(long drainGrace, double fallMultiple, long fallWindow, long answerGrace) {}

    /** Weights of the parts of goodput; they sum to 1. */
    public record Goal(
            double whole,
            double worstWindow,
            double worstClass,
            double worstTenant,
            double overShareWorth) {}

    /**
     * Points taken off goodput, in parts of 1.
     *
     * @param waste times the work that produced no answer a client got, as a share of the work
     *     asked for
     * @param probe times the probes a first try
     * @param peer times the bytes between proxies a first try, in messages of 256
     * @param lateFail times the worth left unserved after its aim had passed, as a share of all
     * @param overdriven times the share of nodes that choked, each for as long as the tier's price
     *     says
     */
    public record Prices(
            double waste, double probe, double peer, double lateFail, double overdriven) {}

    /**
     * A tier of nodes.
     *
     * @param nodes how many; rounded
     * @param relative whether {@code nodes} is a multiple of the first tier's
     * @param proxies how many proxies stand before the first tier; before others each node of the
     *     tier above has its own
     * @param workShare the part of a request's work that is done here, for each request of this
     *     tier
     * @param calls how many calls to the next tier a request makes, one after another, on average;
     *     0 at the last
     * @param cellSize nodes in a cell; drawn once, the last cell may be smaller
     * @param passesDeadline the chance, drawn for each run, that calls to the next tier carry the
     *     time that is left; else they carry their class's whole deadline
     * @param kinds at least one
     * @param choke what overdriving does, or null
     */
    public record Tier(
            String name,
            Draw nodes,
            boolean relative,
            Draw proxies,
            double workShare,
            Draw calls,
            Draw cellSize,
            double passesDeadline,
            List<Kind> kinds,
            Report report,
            Connections connections,
            Probing probing,
            Choke choke) {}

    /**
     * A kind of machine.
     *
     * @param share its share of the tier's nodes; the shares of a tier sum to 1 after drawing
     * @param cores cores of a node
     * @param speed the mean speed of a core, drawn for each run
     * @param speedSpread the coefficient of variation of speed from node to node
     * @param slots requests in work for each core: a request keeps its slot while the next tier
     *     works
     * @param queue requests waiting for a slot for each core; beyond that they are declined unseen
     * @param thrash how much of a node's capacity each request held beyond {@code thrashAt} for
     *     each core takes, as a share
     * @param coldFrom the share of its capacity that a node has when it starts
     * @param coldTime it then rises evenly to the whole over this time
     * @param errorRate the share of requests that end with an error after their work
     * @param stopsCancelled whether work stops when its request is cancelled or out of time
     * @param dropsExpired the chance, drawn for each run, that a request whose time is over is
     *     declined when its turn comes
     */
    public record Kind(
            String name,
            Draw share,
            int cores,
            Draw speed,
            Draw speedSpread,
            Draw slots,
            Draw queue,
            Draw thrash,
            Draw thrashAt,
            Draw coldFrom,
            Draw coldTime,
            Draw errorRate,
            boolean stopsCancelled,
            double dropsExpired) {}

    /**
     * Load reports: refreshed so often, on their way so long, and off by a normal error of this
     * share.
     */
    public record Report(Draw period, Draw delay, Draw noise) {}

    /**
     * Connections to a node carry one request at a time.
     *
     * @param handshakeTrips round trips before the first request can be sent
     * @param handshakeWork what a new connection costs the node
     * @param idle an idle connection closes after this time
     * @param connectTimeout a connection that isn't up by then has failed
     * @param capPerCore connections that a node accepts for each core
     * @param fullTax the share of a node's capacity that a full table takes; less in proportion
     */
    public record Connections(
            Draw handshakeTrips,
            Draw handshakeWork,
            long idle,
            long connectTimeout,
            Draw capPerCore,
            Draw fullTax) {}

    /**
     * Probes: answered beside the queue.
     *
     * @param work what one costs the node
     * @param capPerCore probes a second that a node answers for each core
     * @param timeout one that isn't answered by then has failed
     */
    public record Probing(Draw work, Draw capPerCore, long timeout) {}

    /**
     * What happens to a node that is overdriven: it turns slower and stays so.
     *
     * @param chance the chance, drawn for each run, that nodes of this tier choke at all
     * @param at waiting requests for each core that are far too many; those that were declined for
     *     want of room count until the node would have come to them
     * @param over a node with more than these for this long chokes
     * @param slower by which factor
     * @param rest it recovers after it has been mostly idle for this long
     * @param below mostly idle: fewer requests held for each core than this
     * @param max or after this long in any case
     * @param price the points that go if all nodes choke once
     */
    public record Choke(
            double chance,
            Draw at,
            Draw over,
            Draw slower,
            Draw rest,
            Draw below,
            Draw max,
            double price) {}

    /** How work varies from request to request of a class. */
    public enum Spread {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL,
        PARETO
    }

    /**
     * A class of requests.
     *
     * @param share its share of arrivals
     * @param work the mean work over all tiers
     * @param cv the coefficient of variation of work; unused where the spread has its own
     * @param attemptNoise the standard deviation of the logarithm of an attempt's work about its
     *     request's
     * @param aim answers within this time of the first try's start earn the worth
     * @param deadline the longest a client waits, over all its tries
     * @param worth for a request of mean work; worth is counted by work
     * @param lateWorth the share of the worth of an answer after the aim
     * @param repeatWindow how long nodes drop the repeat of a key
     */
    public record RequestKind(
            String name,
            Idempotency effect,
            KeyScope keyScope,
            Draw share,
            Draw work,
            Spread spread,
            Draw cv,
            Draw attemptNoise,
            long aim,
            long deadline,
            double worth,
            double lateWorth,
            long repeatWindow) {}

    /**
     * A tenant.
     *
     * @param share its share of what the fleet can do
     * @param quota the quota as a share of capacity at which {@code share} is counted
     * @param usage what it sends, as a multiple of its share of the traffic
     */
    public record Customer(String name, double share, Draw quota, Draw usage) {}

    /** What goes wrong. */
    public enum Trouble {
        /** Nodes die, and come back cold after the length. */
        CRASH,
        /** Nodes run slower by the factor {@code size}. */
        SLOW,
        /** Nodes and their connections fall silent: nothing comes back, nothing is refused. */
        SILENT,
        /** Nodes answer at once with an error. */
        SINKHOLE,
        /** Nodes decline all. */
        DECLINE,
        /**
         * Nodes drain: listed as draining, they decline what is new, and are gone after the length.
         */
        DRAIN,
        /** Nodes vanish; after the length new, cold ones with new ids answer at their addresses. */
        REPLACE,
        /** A part of the tier restarts, one node after another, spread over the length. */
        RESTART_STORM,
        /** Discovery answers nothing, and its watches break. */
        DISCOVERY_DOWN,
        /** Proxies die and come back with the list they last had. */
        PROXY_CRASH,
        /** Load reports of nodes stay as they are. */
        FROZEN_REPORTS,
        /** Messages from proxies to nodes are lost, the other way still works. */
        CUT_TO_NODES,
        /** Messages from nodes to proxies are lost, the other way still works. */
        CUT_FROM_NODES
    }

    /** What goes wrong on sockets. */
    public enum WireTrouble {
        /** Nodes answer with bytes that are no HTTP. */
        GARBLE,
        /** Nodes answer with a body that is longer than any may be. */
        TOO_LONG,
        /** Nodes announce more than they send, and close. */
        TOO_SHORT,
        /** Nodes begin an answer that has no end. */
        ENDLESS,
        /** Nodes send interim answers without number before the answer. */
        INTERIM_FLOOD,
        /** Nodes send a hedged request of the answer behind it. */
        SECOND_COPY,
        /** Nodes reset a connection as soon as it is up. */
        RESET_BEFORE,
        /** Nodes reset a connection while they read a request. */
        RESET_WITHIN,
        /** Nodes do the work and reset the connection in place of the answer. */
        RESET_AFTER,
        /** Nodes answer no probe. */
        PROBES_UNANSWERED,
        /** Nodes refuse connections beyond one for each proxy that sends to their tier. */
        FEW_CONNECTIONS,
        /** Proxies of the first tier get SIGTERM, and start again when they have ended. */
        TERMINATE,
        /** Discovery moves for proxies of the first tier, and SIGHUP tells them. */
        HANG_UP;

        /** Whether it strikes proxies of the first tier; else nodes. */
        public boolean ofProxies() {
            return this == TERMINATE || this == HANG_UP;
        }
    }

    /**
     * A trouble on sockets at a time.
     *
     * @param tier the index of the tier; -1 where it strikes proxies
     * @param at when it begins, since the start
     * @param length how long it lasts; proxies are struck one after another, spread over it
     * @param part the share of the tier's nodes, or of the first tier's proxies; at least one
     */
    public record Wire(WireTrouble trouble, int tier, Draw at, Draw length, Draw part) {}

    /**
     * A trouble at a time.
     *
     * @param tier the index of the tier; -1 where the trouble has none
     * @param at when it begins, since the start
     * @param length how long it lasts
     * @param part the share of the tier's nodes (or of the first tier's proxies); at least one
     * @param size SLOW: the factor
     */
    public record Fault(Trouble trouble, int tier, Draw at, Draw length, Draw part, Draw size) {}
}
