package cedarrudder.lab.referee;

import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Idempotency;
import cedarrudder.balancer.LoadBalancer.KeyScope;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.result.RunResult.Breach;
import cedarrudder.lab.trace.Trace;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads what can be seen of a run and finds where the four rules are broken. It knows nothing of
 * the balancer that it judges, nor of the model; {@link RuleParameters} is all it is told besides
 * the trace.
 *
 * <ol>
 *   <li>Each RPC taken by a proxy that lives gets one final answer by its deadline and the grace,
 *       and what is served came from an attempt that reached a node and ended well. Nothing is sent
 *       for an RPC that is over.
 *   <li>What may have run is sent again or refused only as its class allows: an unsafe RPC never; a
 *       keyed one to the nodes that drop its repeats, within the window from the send of the first
 *       attempt that may have run, and it is refused only where all nodes drop them. Two attempts
 *       are out at once only where that is allowed.
 *   <li>Nothing is sent to a node later than the grace after the proxy was told that it drains or
 *       is gone, be it by an entry or by a whole list without it; nor to a node that no list of the
 *       proxy ever named. A later entry that calls it ready lifts this. Where the list must be
 *       asked for, a proxy that doesn't ask counts as told by the rules; the trace doesn't show
 *       that, and it is not judged here.
 *   <li>Of the work that is sent to a cold node in any window, declined or not, no more than the
 *       multiple of what it can do now, times the window; for chance the one heaviest attempt
 *       doesn't count. It counts where two thirds of that work came from proxies that had been told
 *       of the start. What could not be sent after all is taken back. A node that ends under nearly
 *       so much has been pushed over too. What was meant for a former node at the same address is
 *       not seen.
 * </ol>
 *
 * <p>Of each rule the first breach is kept, and how many there were: RPCs for the first rule, sends
 * and refusals for the second, sends for the third, nodes for the fourth.
 *
 * <p>Memory: an RPC is forgotten {@link #MEMORY} after its time, so it holds what is open and some
 * seconds more; and an entry for each node that a proxy was ever told of. Cost of an event: a few
 * look-ups, and for a whole list one step for each node. Not for use by several threads.
 */
public final class RuleChecker implements Trace {

    /** An RPC is remembered for this long after its last answer was due, in nanoseconds. */
    public static final long MEMORY = 10_000_000_000L;

    /** Start times that lists tell may be rounded down to milliseconds. */
    private static final long START_ROUNDING = 1_000_000L;

    private static final int RULES = 4;

    /** A proxy, over all its lives. */
    private static final class Proxy {
        int life;
        boolean alive;
        LongMap<ListedEndpoint> listed = new LongMap<>();
        List<ListedEndpoint> inOrder = new ArrayList<>();
    }

    private final RuleParameters figures;
    private final long origin;
    private final List<Proxy> proxies = new ArrayList<>();
    private final LongMap<ObservedRequest> rpcs = new LongMap<>();
    private final LongMap<ColdNode> cold = new LongMap<>();
    private final TimerHeap due = new TimerHeap();
    private final TimerHeap forget = new TimerHeap();
    private final Breach[] first = new Breach[RULES];
    private final long[] counts = new long[RULES];
    private int most;

    /**
     * A referee for one run.
     *
     * @param origin the instant at which the run begins; times of breaches count from it
     */
    public RuleChecker(RuleParameters figures, long origin) {
        this.figures = figures;
        this.origin = origin;
    }

    /**
     * The first breach of each rule that was broken, by rule. To be asked after {@link #finish}.
     */
    public List<Breach> breaches() {
        List<Breach> found = new ArrayList<>();
        for (int i = 0; i < RULES; i++) {
            if (first[i] != null) {
                Breach breach = first[i];
                found.add(
                        new Breach(
                                breach.rule(),
                                breach.at(),
                                breach.proxy(),
                                breach.rpc(),
                                breach.endpoint(),
                                breach.what(),
                                counts[i]));
            }
        }
        return found;
    }

    /** The run is over at this instant: what was due by then is due. */
    public void finish(long now) {
        pass(now);
    }

    /** The most RPCs that were remembered at once. */
    public int mostRemembered() {
        return most;
    }

    private void breach(int rule, long now, int proxy, long rpc, long endpoint, String what) {
        if (counts[rule - 1]++ == 0) {
            first[rule - 1] = new Breach(rule, (now - origin) / 1e9, proxy, rpc, endpoint, what, 1);
        }
    }

    private Proxy proxy(int number) {
        while (proxies.size() <= number) {
            proxies.add(new Proxy());
        }
        return proxies.get(number);
    }

    /** Time goes by: answers become overdue, and old RPCs are forgotten. */
    private void pass(long now) {
        while (!due.isEmpty() && due.time() < now) {
            ObservedRequest rpc = rpcs.get(due.number());
            if (!rpc.answered && !rpc.closed && lives(rpc)) {
                rpc.closed = true;
                breach(1, due.time(), rpc.proxy, due.number(), -1, "no final answer in time");
            }
            forget.add(due.time() + MEMORY, due.number());
            due.remove();
        }
        while (!forget.isEmpty() && forget.time() < now) {
            rpcs.remove(forget.number());
            forget.remove();
        }
    }

    private boolean lives(ObservedRequest rpc) {
        Proxy proxy = proxies.get(rpc.proxy);
        return proxy.alive && proxy.life == rpc.life;
    }

    // ---- proxies and what they are told ----

    @Override
    public void proxyStarted(long now, int number, int tier) {
        pass(now);
        Proxy proxy = proxy(number);
        proxy.life++;
        proxy.alive = true;
        proxy.listed = new LongMap<>();
        proxy.inOrder = new ArrayList<>();
    }

    @Override
    public void proxyDied(long now, int number) {
        pass(now);
        proxy(number).alive = false;
    }

    @Override
    public void told(
            long now,
            int number,
            long endpoint,
            int cell,
            int zone,
            EndpointStatus state,
            long startedAt) {
        pass(now);
        Proxy proxy = proxy(number);
        ListedEndpoint listed = proxy.listed.get(endpoint);
        if (listed == null) {
            listed = new ListedEndpoint();
            proxy.listed.put(endpoint, listed);
            proxy.inOrder.add(listed);
        }
        listed.cell = cell;
        listed.zone = zone;
        listed.startedAt = startedAt;
        if (state == EndpointStatus.READY) {
            listed.ready();
        } else {
            listed.leaving(now);
        }
    }

    @Override
    public void toldWhole(long now, int number) {
        pass(now);
        for (ListedEndpoint listed : proxy(number).inOrder) {
            listed.absent(now);
        }
    }

    // ---- RPCs ----

    @Override
    public void taken(
            long now,
            int number,
            long id,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline) {
        pass(now);
        rpcs.put(
                id,
                new ObservedRequest(
                        number, proxy(number).life, effect, scope, repeatWindow, deadline));
        due.add(Math.max(now, deadline) + figures.answerGrace(), id);
        most = Math.max(most, rpcs.size());
    }

    @Override
    public void sent(long now, int number, long id, int attempt, long endpoint, double work) {
        pass(now);
        ListedEndpoint listed = proxy(number).listed.get(endpoint);
        if (listed == null) {
            breach(3, now, number, id, endpoint, "sent to a node that no list named");
        } else if (now - figures.drainGrace() > listed.knownSince()) {
            breach(3, now, number, id, endpoint, "sent to a node known to drain or to be gone");
        }
        ObservedRequest rpc = rpcs.get(id);
        if (rpc == null || rpc.proxy != number) {
            breach(1, now, number, id, endpoint, "sent what the proxy doesn't hold");
            return;
        }
        if (rpc.answered && !rpc.told || rpc.told && now > rpc.toldAt) {
            breach(1, now, number, id, endpoint, "sent after its end");
        }
        int cell = listed == null ? -1 : listed.cell;
        int zone = listed == null ? -1 : listed.zone;
        String wrong = wrongAgain(now, rpc, cell, zone);
        if (wrong != null) {
            breach(2, now, number, id, endpoint, wrong);
        }
        rpc.add(now, endpoint, cell, zone, work);
        if (work > 0) {
            press(now, rpc, id, rpc.attempts - 1);
        }
    }

    /** What is wrong with a further attempt at a node of this cell and zone; null if nothing is. */
    private String wrongAgain(long now, ObservedRequest rpc, int cell, int zone) {
        if (rpc.attempts >= figures.attempts()) {
            return "more attempts than allowed";
        }
        int ran = rpc.mayHaveRun();
        if (ran >= 0 && rpc.effect == Idempotency.UNSAFE) {
            return "unsafe, sent again though it may have run";
        }
        if (ran >= 0 && rpc.effect == Idempotency.KEYED) {
            if (now - rpc.sentAt[ran] > rpc.repeatWindow) {
                return "keyed, sent again after its window";
            }
            if (rpc.scope == KeyScope.CELL && rpc.cells[ran] != cell
                    || rpc.scope == KeyScope.ZONE && rpc.zones[ran] != zone) {
                return "keyed, sent again outside its "
                        + (rpc.scope == KeyScope.CELL ? "cell" : "zone");
            }
        }
        return rpc.out > 0 && !figures.secondCopies() ? "two attempts out at once" : null;
    }

    /** Tells the work of an attempt that was sent just now, where it wasn't known when it was. */
    void weighed(long now, long id, int attempt, double work) {
        ObservedRequest rpc = rpcs.get(id);
        if (rpc != null && attempt < rpc.attempts) {
            rpc.works[attempt] = work;
            press(now, rpc, id, attempt);
        }
    }

    /** Counts the work of an attempt against its node, where that is cold. */
    private void press(long now, ObservedRequest rpc, long id, int attempt) {
        long endpoint = rpc.endpoints[attempt];
        ColdNode node = cold.get(endpoint);
        if (node == null) {
            return;
        }
        if (!node.cold(now)) {
            cold.remove(endpoint);
            return;
        }
        ListedEndpoint listed = proxies.get(rpc.proxy).listed.get(endpoint);
        rpc.knew[attempt] =
                listed != null
                        && listed.startedAt != 0
                        && listed.startedAt > node.startedAt - START_ROUNDING;
        node.lastProxy = rpc.proxy;
        node.lastRpc = id;
        if (node.sent(now, rpc.works[attempt], rpc.knew[attempt])) {
            breach(4, now, rpc.proxy, id, endpoint, "a cold node was pushed over");
        }
    }

    @Override
    public void reached(long now, int number, long id, int attempt, long endpoint) {
        pass(now);
        ObservedRequest rpc = rpcs.get(id);
        if (rpc != null && attempt < rpc.attempts) {
            rpc.reached[attempt] = true;
        }
    }

    @Override
    public void ended(long now, int number, long id, int attempt, Outcome outcome) {
        pass(now);
        ObservedRequest rpc = rpcs.get(id);
        if (rpc == null || attempt >= rpc.attempts || rpc.ended[attempt] != null) {
            return;
        }
        rpc.ended[attempt] = outcome;
        rpc.out--;
        ColdNode node = cold.get(rpc.endpoints[attempt]);
        if (node != null && (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.MOOT)) {
            node.takeBack(rpc.sentAt[attempt], rpc.works[attempt], rpc.knew[attempt]);
        }
    }

    @Override
    public void answered(long now, int number, long id, Final how, int attempt) {
        pass(now);
        ObservedRequest rpc = rpcs.get(id);
        if (rpc == null || rpc.proxy != number) {
            breach(1, now, number, id, -1, "answered what the proxy doesn't hold");
            return;
        }
        if (rpc.answered) {
            breach(1, now, number, id, -1, "answered twice");
            return;
        }
        rpc.answered = true;
        if (how == Final.SERVED) {
            rpc.told = true;
            rpc.toldAt = now;
            boolean real =
                    attempt >= 0
                            && attempt < rpc.attempts
                            && rpc.reached[attempt]
                            && rpc.ended[attempt] == Outcome.OK;
            if (!real) {
                breach(1, now, number, id, -1, "served what no node made for it");
            }
        }
        if (how == Final.REFUSED
                && rpc.mayHaveRun() >= 0
                && (rpc.effect == Idempotency.UNSAFE
                        || rpc.effect == Idempotency.KEYED && rpc.scope != KeyScope.ALL)) {
            breach(2, now, number, id, -1, "refused though it may have run");
        }
    }

    @Override
    public void callerLeft(long now, int number, long id) {
        pass(now);
        ObservedRequest rpc = rpcs.get(id);
        if (rpc != null && !rpc.told) {
            rpc.told = true;
            rpc.toldAt = now;
            // From the deadline on nobody leaves: then it is the answer that has not come, and is
            // still owed.
            rpc.closed |= now < rpc.deadline;
        }
    }

    // ---- nodes ----

    @Override
    public void nodeStarted(
            long now, long endpoint, double capacity, double coldShare, long warmAt) {
        pass(now);
        cold.put(
                endpoint,
                new ColdNode(
                        now,
                        warmAt,
                        capacity,
                        coldShare,
                        figures.fallMultiple(),
                        figures.fallWindow()));
    }

    @Override
    public void nodeEnded(long now, long endpoint) {
        pass(now);
        ColdNode node = cold.get(endpoint);
        if (node != null && node.cold(now) && node.fell(now)) {
            breach(4, now, node.lastProxy, node.lastRpc, endpoint, "a cold node was pushed over");
        }
        cold.remove(endpoint);
    }
}
