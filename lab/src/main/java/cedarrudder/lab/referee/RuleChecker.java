package cedarrudder.lab.referee;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
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
 *   <li>Each request taken by a proxy that lives gets one final answer by its deadline and the
 *       grace, and what is served came from an attempt that reached a node and ended well. Nothing
 *       is sent for a request that is over.
 *   <li>What may have run is sent again or refused only as its class allows: an unsafe request
 *       never; a keyed one to the nodes that drop its repeats, within the window from the send of
 *       the first attempt that may have run, and it is refused only where all nodes drop them. Two
 *       attempts are out at once only where that is allowed.
 *   <li>Nothing is sent to a node later than the grace after the proxy was told that it drains or
 *       is gone, be it by an entry or by a whole list without it; nor to a node that no list of the
 *       proxy ever named. A later entry that calls it ready lifts this. Where the list must be
 *       asked for, a proxy that doesn't ask counts as told by the rules; the trace doesn't show
 *       that, and it is not judged here.
 *   <li>Of the work that is sent to a cold node in any window, declined or not, no more than the
 *       multiple of what it can do now, times the window; for chance the one heaviest attempt
 *       doesn't count. It counts where two thirds of that work came from proxies that had been told
 *       of the start. What could not be sent after all is taken back. A node that ends under nearly
 *       this much has been pushed over too. What was meant for a former node at the same address is
 *       not seen.
 * </ol>
 *
 * <p>Of each rule the first breach is kept, and how many there were: requests for the first rule,
 * sends and refusals for the second, sends for the third, nodes for the fourth.
 *
 * <p>Memory: a request is forgotten {@link #MEMORY} after its time, so it holds what is open and
 * some seconds more; and an entry for each node that a proxy was ever told of. Cost of an event: a
 * few look-ups, and for a whole list one step for each node. Not for use by several threads.
 */
public final class RuleChecker implements Trace {

    /** A request is remembered for this long after its last answer was due, in nanoseconds. */
    public static final long MEMORY = 10_000_000_000L;

    /** Start times that lists tell may be rounded down to milliseconds. */
    private static final long START_ROUNDING = 1_000_000L;

    private static final int RULES = 4;

    /** A proxy, over all its lives. */
    private static final class Proxy {
        int incarnation;
        boolean alive;
        LongMap<ListedEndpoint> listed = new LongMap<>();
        List<ListedEndpoint> inOrder = new ArrayList<>();
    }

    private final RuleParameters figures;
    private final long origin;
    private final List<Proxy> proxies = new ArrayList<>();
    private final LongMap<ObservedRequest> requests = new LongMap<>();
    private final LongMap<ColdNode> cold = new LongMap<>();
    private final TimerHeap due = new TimerHeap();
    private final TimerHeap forget = new TimerHeap();
    private final Breach[] first = new Breach[RULES];
    private final long[] counts = new long[RULES];
    private int max;

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

    /** The most requests that were remembered at once. */
    public int maxRemembered() {
        return max;
    }

    private void breach(int rule, long now, int proxy, long request, long endpoint, String what) {
        if (counts[rule - 1]++ == 0) {
            first[rule - 1] =
                    new Breach(rule, (now - origin) / 1e9, proxy, request, endpoint, what, 1);
        }
    }

    private Proxy proxy(int number) {
        while (proxies.size() <= number) {
            proxies.add(new Proxy());
        }
        return proxies.get(number);
    }

    /** Time goes by: answers become overdue, and old requests are forgotten. */
    private void pass(long now) {
        while (!due.isEmpty() && due.time() < now) {
            ObservedRequest request = requests.get(due.number());
            if (!request.answered && !request.closed && lives(request)) {
                request.closed = true;
                breach(1, due.time(), request.proxy, due.number(), -1, "no final answer in time");
            }
            forget.add(due.time() + MEMORY, due.number());
            due.remove();
        }
        while (!forget.isEmpty() && forget.time() < now) {
            requests.remove(forget.number());
            forget.remove();
        }
    }

    private boolean lives(ObservedRequest request) {
        Proxy proxy = proxies.get(request.proxy);
        return proxy.alive && proxy.incarnation == request.incarnation;
    }

    // ---- proxies and what they are told ----

    @Override
    public void proxyStarted(long now, int number, int tier) {
        pass(now);
        Proxy proxy = proxy(number);
        proxy.incarnation++;
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

    // ---- requests ----

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
        requests.put(
                id,
                new ObservedRequest(
                        number, proxy(number).incarnation, effect, scope, repeatWindow, deadline));
        due.add(Math.max(now, deadline) + figures.answerGrace(), id);
        max = Math.max(max, requests.size());
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
        ObservedRequest request = requests.get(id);
        if (request == null || request.proxy != number) {
            breach(1, now, number, id, endpoint, "sent what the proxy doesn't hold");
            return;
        }
        if (request.answered && !request.told || request.told && now > request.toldAt) {
            breach(1, now, number, id, endpoint, "sent after its end");
        }
        int cell = listed == null ? -1 : listed.cell;
        int zone = listed == null ? -1 : listed.zone;
        String wrong = wrongAgain(now, request, cell, zone);
        if (wrong != null) {
            breach(2, now, number, id, endpoint, wrong);
        }
        request.add(now, endpoint, cell, zone, work);
        if (work > 0) {
            press(now, request, id, request.attempts - 1);
        }
    }

    /** What is wrong with a further attempt at a node of this cell and zone; null if nothing is. */
    private String wrongAgain(long now, ObservedRequest request, int cell, int zone) {
        if (request.attempts >= figures.attempts()) {
            return "more attempts than allowed";
        }
        int ran = request.mayHaveRun();
        if (ran >= 0 && request.effect == Idempotency.UNSAFE) {
            return "unsafe, sent again though it may have run";
        }
        if (ran >= 0 && request.effect == Idempotency.KEYED) {
            if (now - request.sentAt[ran] > request.repeatWindow) {
                return "keyed, sent again after its window";
            }
            if (request.scope == KeyScope.CELL && request.cells[ran] != cell
                    || request.scope == KeyScope.ZONE && request.zones[ran] != zone) {
                return "keyed, sent again outside its "
                        + (request.scope == KeyScope.CELL ? "cell" : "zone");
            }
        }
        return request.out > 0 && !figures.secondCopies() ? "two attempts out at once" : null;
    }

    /** Tells the work of an attempt that was sent just now, where it wasn't known when it was. */
    void weighed(long now, long id, int attempt, double work) {
        ObservedRequest request = requests.get(id);
        if (request != null && attempt < request.attempts) {
            request.works[attempt] = work;
            press(now, request, id, attempt);
        }
    }

    /** Counts the work of an attempt against its node, where that is cold. */
    private void press(long now, ObservedRequest request, long id, int attempt) {
        long endpoint = request.endpoints[attempt];
        ColdNode node = cold.get(endpoint);
        if (node == null) {
            return;
        }
        if (!node.cold(now)) {
            cold.remove(endpoint);
            return;
        }
        ListedEndpoint listed = proxies.get(request.proxy).listed.get(endpoint);
        request.knew[attempt] =
                listed != null
                        && listed.startedAt != 0
                        && listed.startedAt > node.startedAt - START_ROUNDING;
        node.lastProxy = request.proxy;
        node.lastRequest = id;
        if (node.sent(now, request.works[attempt], request.knew[attempt])) {
            breach(4, now, request.proxy, id, endpoint, "a cold node was pushed over");
        }
    }

    @Override
    public void reached(long now, int number, long id, int attempt, long endpoint) {
        pass(now);
        ObservedRequest request = requests.get(id);
        if (request != null && attempt < request.attempts) {
            request.reached[attempt] = true;
        }
    }

    @Override
    public void ended(long now, int number, long id, int attempt, Outcome outcome) {
        pass(now);
        ObservedRequest request = requests.get(id);
        if (request == null || attempt >= request.attempts || request.ended[attempt] != null) {
            return;
        }
        request.ended[attempt] = outcome;
        request.out--;
        ColdNode node = cold.get(request.endpoints[attempt]);
        if (node != null && (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NOT_STARTED)) {
            node.takeBack(request.sentAt[attempt], request.works[attempt], request.knew[attempt]);
        }
    }

    @Override
    public void answered(long now, int number, long id, Final how, int attempt) {
        pass(now);
        ObservedRequest request = requests.get(id);
        if (request == null || request.proxy != number) {
            breach(1, now, number, id, -1, "answered what the proxy doesn't hold");
            return;
        }
        if (request.answered) {
            breach(1, now, number, id, -1, "answered twice");
            return;
        }
        request.answered = true;
        if (how == Final.SERVED) {
            request.told = true;
            request.toldAt = now;
            boolean real =
                    attempt >= 0
                            && attempt < request.attempts
                            && request.reached[attempt]
                            && request.ended[attempt] == Outcome.OK;
            if (!real) {
                breach(1, now, number, id, -1, "served what no node made for it");
            }
        }
        if (how == Final.REFUSED
                && request.mayHaveRun() >= 0
                && (request.effect == Idempotency.UNSAFE
                        || request.effect == Idempotency.KEYED && request.scope != KeyScope.ALL)) {
            breach(2, now, number, id, -1, "refused though it may have run");
        }
    }

    @Override
    public void callerLeft(long now, int number, long id) {
        pass(now);
        ObservedRequest request = requests.get(id);
        if (request != null && !request.told) {
            request.told = true;
            request.toldAt = now;
            // From the deadline on nobody leaves: then it is the answer that has not come, and is
            // still owed.
            request.closed |= now < request.deadline;
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
            breach(
                    4,
                    now,
                    node.lastProxy,
                    node.lastRequest,
                    endpoint,
                    "a cold node was pushed over");
        }
        cold.remove(endpoint);
    }
}
