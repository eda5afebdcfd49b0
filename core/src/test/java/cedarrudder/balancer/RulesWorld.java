package cedarrudder.balancer;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A world of legal but odd events round the real driver, module and overlay of endpoints by hand,
 * with the model of the rules beside them: each step is told to both. All is drawn from one seed. A
 * {@link Fault} makes one part wrong on purpose, which the model must catch.
 */
final class RulesWorld {

    /** What is made wrong. */
    enum Fault {
        NONE(""),
        RESENDS_SINGLE_SEND("single-send sent twice"),
        REFUSES_WHAT_MAY_HAVE_RUN("refused though it may have run"),
        LEAVES_THE_POD("sent again outside its group"),
        FORGETS_THE_WINDOW("sent again after its key is forgotten"),
        TRIES_WITHOUT_END("too many attempts"),
        COPIES_WHERE_FORBIDDEN("a second copy where none may be"),
        ANSWERS_TWICE("a second answer"),
        FORGETS_TO_ANSWER("no answer"),
        ANSWERS_LATE("answered too late"),
        SENDS_TO_DRAINING("sent to a node that drains or is gone"),
        IGNORES_BANS("sent to a node that drains or is gone"),
        SENDS_TO_UNLISTED("sent to a node that was never listed"),
        PUSHES_COLD_NODES("a cold node pushed over"),
        SENDS_AFTER_THE_END("sent after the end"),
        BEGINS_FOR_NOBODY("begun after the end"),
        BEGINS_ON_DRAINING("sent to a node that drains or is gone"),
        BEGINS_AFTER_THE_WINDOW("sent again after its key is forgotten"),
        MAKES_UP_AN_ANSWER("served with what no node made");

        /** The rule that it breaks. */
        final String rule;

        Fault(String rule) {
            this.rule = rule;
        }
    }

    private static final long MS = Site.MS;
    private static final int NODES = 9;
    private static final int MAX_AWAY = 3;
    private static final long STRANGER = 999;

    /** These show only where the balancer lets each attempt begin. */
    private static final Set<Fault> DENIES_NOTHING =
            Set.of(
                    Fault.RESENDS_SINGLE_SEND,
                    Fault.BEGINS_ON_DRAINING,
                    Fault.BEGINS_AFTER_THE_WINDOW);

    /** Each warm endpoint bears this many requests a second, and this many come in all. */
    private static final double CAPACITY = 12;

    private static final long BETWEEN = 25 * MS;

    private record Due(long at, long order, int instance, Runnable what) {}

    final SplittableRandom random;
    private final Fault fault;
    private final BalancerSettings settings;
    private final boolean shared;
    private final RulesModel model;
    private final StringBuilder transcript = new StringBuilder();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));

    /** The endpoints as they are, and as they were when an old list was made. */
    private final Map<String, Endpoint> nodes = new TreeMap<>();

    private Map<String, Endpoint> old = Map.of();
    private final TreeSet<String> disabled = new TreeSet<>();
    private final Map<Long, Exchange<String, String>> uploading = new HashMap<>();

    /** The requests whose clients have gone, though the driver may not have heard of it. */
    private final Set<Long> gone = new HashSet<>();

    private Map<Long, String> known = new HashMap<>();
    private AdminOverrides rotation;
    private RequestMetrics figures;
    private RequestForwarder<String, String> driver;
    private LoadBalancer.Actions hands;
    private int instance;
    private long now;
    private long order;
    private long lastRequest;
    private int served;

    RulesWorld(long seed, Fault fault) {
        this.random = new SplittableRandom(seed);
        this.fault = fault;
        this.shared = seed / 2 % 2 == 1;
        // An instant's zero means nothing: some runs begin before it.
        this.now = seed % 2 == 0 ? 5000 * MS : -4000 * MS;
        Site site = new Site();
        site.classes =
                List.of(Site.SAFE, Site.UNSAFE, Site.KEYED, Site.KEYED_IN_CELL, Site.KEYED_IN_ZONE);
        site.parallelTries = random.nextBoolean() && fault != Fault.COPIES_WHERE_FORBIDDEN;
        site.ask = random.nextBoolean();
        site.tenants = List.of(new BalancerSettings.Tenant("a", 1, 100));
        site.tiers = 2;
        site.tier = fault == Fault.NONE ? random.nextInt(2) : 1;
        site.maxAttempts = 1 + random.nextInt(4);
        site.drainGrace = 100 * MS; // shorter than many a connection takes to come up
        if (fault.rule.startsWith("sent again") || fault == Fault.TRIES_WITHOUT_END) {
            site.maxAttempts = 4;
        }
        BalancerSettings real = site.settings();
        model =
                new RulesModel(
                        site.maxAttempts, site.parallelTries, real.safety(), CAPACITY, 50 * MS);
        if (fault == Fault.TRIES_WITHOUT_END) {
            site.maxAttempts = 9;
        }
        settings = site.settings();
    }

    // ---- the run ----

    /** Plays this many requests; an error tells the seed's prefix by the number of events. */
    void run(int requests) {
        for (int i = 1; i <= NODES; i++) {
            nodes.put("n" + i, Site.endpoint(i, i % 2, i % 3, EndpointStatus.READY, 0));
        }
        old = new TreeMap<>(nodes);
        begin();
        long when = now;
        for (int i = 0; i < requests; i++) {
            when += random.nextLong(2 * BETWEEN);
            anytime(when, this::arrive);
        }
        long end = when + 3000 * MS;
        for (long t = now; t < end; t += 150 * MS) {
            anytime(t, this::happen);
            anytime(t + 75 * MS, this::share);
        }
        anytime(now + (end - now) / 2, this::killAndRestart);
        for (int events = 0; !due.isEmpty() && due.peek().at <= end; events++) {
            Due next = due.poll();
            now = Math.max(now, next.at);
            if (next.instance == 0 || next.instance == instance) {
                next.what.run();
            }
            if (events % 50 == 0) {
                model.checkAllAnswered(now);
            }
        }
        model.checkAllAnswered(end);
        long ended = 0;
        for (int kind = 0; kind < figures.classes(); kind++) {
            for (End how : End.values()) {
                ended += figures.ended(kind, how);
            }
            ended -= figures.accepted(kind);
        }
        if (ended + figures.openRequests() != 0 || figures.openRequests() != 0) {
            throw new AssertionError(
                    "counted " + ended + " too many ends, " + figures.openRequests() + " open");
        }
    }

    int served() {
        return served;
    }

    int events() {
        return model.size();
    }

    String transcript() {
        return transcript.toString();
    }

    /** An event of the world's, whichever instance is there then. */
    private void anytime(long when, Runnable what) {
        due.add(new Due(when, order++, 0, what));
    }

    /** An event of this instance's: it is gone with it. */
    private void at(long when, Runnable what) {
        due.add(new Due(when, order++, instance, what));
    }

    private void begin() {
        instance++;
        known = new HashMap<>();
        rotation = new AdminOverrides();
        disabled.forEach(rotation::disable);
        figures = new RequestMetrics(settings.classes().size());
        uploading.clear();
        SplittableRandom forModule = random.split();
        driver =
                new RequestForwarder<>(
                        actions -> module(actions, forModule),
                        settings.limits().maxAttempts(),
                        new Clock(),
                        new Logger(new PrintStream(OutputStream.nullOutputStream())),
                        null,
                        figures);
        driver.attach(new Client(), new Discovery(), (replica, message) -> {});
        tell(EndpointListKind.CACHED, old);
    }

    private void killAndRestart() {
        model.killed(now);
        begin();
    }

    // ---- parts made wrong ----

    private LoadBalancer module(LoadBalancer.Actions driverHands, SplittableRandom forModule) {
        hands = twisted(LoadBalancer.Actions.class, driverHands, this::act);
        BalancerSettings toldOf = settings;
        if (fault == Fault.FORGETS_THE_WINDOW || fault == Fault.COPIES_WHERE_FORBIDDEN) {
            Site wrong = new Site();
            wrong.parallelTries =
                    fault == Fault.COPIES_WHERE_FORBIDDEN || settings.limits().hedging();
            wrong.ask = settings.pollsEndpoints();
            wrong.tiers = 2;
            wrong.tier = 1;
            wrong.maxAttempts = settings.limits().maxAttempts();
            wrong.classes =
                    settings.classes().stream()
                            .map(
                                    c ->
                                            new RequestClass(
                                                    c.name(),
                                                    c.idempotency(),
                                                    c.keyScope(),
                                                    c.latencyObjectiveNanos(),
                                                    c.deadlineNanos(),
                                                    c.priorityWeight(),
                                                    0,
                                                    50 * c.keyWindowNanos(),
                                                    false))
                            .toList();
            toldOf = wrong.settings();
        }
        return twisted(
                LoadBalancer.class, new PrequalBalancer(toldOf, forModule, hands), this::hear);
    }

    private interface Twist {
        /** Changes what is passed on, or does something else besides. */
        void change(String method, Object[] arguments);
    }

    private <T> T twisted(Class<T> type, T sound, Twist twist) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, arguments) -> {
                            if (arguments != null) {
                                twist.change(method.getName(), arguments);
                            }
                            try {
                                if (fault == Fault.REFUSES_WHAT_MAY_HAVE_RUN
                                        && method.getName().equals("fail")) {
                                    hands.reject((long) arguments[0], 0);
                                    return null;
                                }
                                if (DENIES_NOTHING.contains(fault)
                                        && method.getName().equals("startDenial")) {
                                    return null;
                                }
                                return method.invoke(sound, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        }));
    }

    /** What the balancer does, before the driver sees it. */
    private void act(String action, Object[] a) {
        transcript.append(now).append(' ').append(action).append(' ').append(a[0]).append('\n');
        if (action.equals("startAttempt")) {
            if (!gone.contains((long) a[0])) {
                model.wanted(now, (long) a[0]);
            }
            if (fault == Fault.LEAVES_THE_POD) {
                List<Long> ready =
                        nodes.values().stream()
                                .filter(n -> n.status() == EndpointStatus.READY)
                                .map(Endpoint::id)
                                .toList();
                a[1] = ready.get(random.nextInt(ready.size()));
            } else if (fault == Fault.SENDS_TO_UNLISTED && random.nextInt(20) == 0) {
                a[1] = STRANGER;
            }
        }
    }

    /** What the balancer hears, before it does. */
    @SuppressWarnings("unchecked")
    private void hear(String event, Object[] a) {
        if (event.equals("onEndpoints")) {
            boolean hides = fault == Fault.SENDS_TO_DRAINING;
            a[2] =
                    ((List<Endpoint>) a[2])
                            .stream()
                                    .map(
                                            e ->
                                                    new Endpoint(
                                                            e.id(),
                                                            e.zone(),
                                                            e.kind(),
                                                            e.cell(),
                                                            hides
                                                                            && e.status()
                                                                                    == EndpointStatus
                                                                                            .DRAINING
                                                                    ? EndpointStatus.READY
                                                                    : e.status(),
                                                            e.weight(),
                                                            fault == Fault.PUSHES_COLD_NODES
                                                                    ? 0
                                                                    : e.startedAt()))
                                    .toList();
        } else if (event.equals("onAttemptEnded")
                && a[4] == Outcome.RESET
                && !(boolean) a[6]
                && fault == Fault.RESENDS_SINGLE_SEND) {
            hands.startAttempt((long) a[1], (long) a[3], 0);
        } else if (event.equals("onAttemptEnded")
                && (boolean) a[6]
                && fault == Fault.SENDS_AFTER_THE_END) {
            hands.startAttempt((long) a[1], (long) a[3], 0);
        }
    }

    // ---- endpoints and discovery ----

    private void happen() {
        String name = "n" + (1 + random.nextInt(NODES));
        Endpoint node = nodes.get(name);
        switch (random.nextInt(10)) {
            case 8 -> {
                // It moves to another cell and runs on, which discovery may tell late.
                nodes.put(
                        name,
                        Site.endpoint(
                                node.id(),
                                node.zone(),
                                (node.cell() + 1) % 3,
                                node.status(),
                                node.startedAt()));
                tell(EndpointListKind.DELTA, Map.of(name, nodes.get(name)));
            }
            case 0, 1 -> change(name, node, EndpointStatus.DRAINING, node.startedAt());
            case 2 -> change(name, node, EndpointStatus.REMOVED, node.startedAt());
            case 3 -> change(name, node, EndpointStatus.READY, now);
            case 4 -> tell(EndpointListKind.FULL, nodes);
            case 5 -> tell(EndpointListKind.FULL, old);
            case 6 -> tell(EndpointListKind.DELTA, nodes);
            case 7 -> byHand(name);
            default -> old = new TreeMap<>(nodes);
        }
        for (Map.Entry<String, Endpoint> away : List.copyOf(nodes.entrySet())) {
            if (away.getValue().status() != EndpointStatus.READY && random.nextInt(6) == 0) {
                // Back after a restart, or the drain was cancelled.
                boolean restarted =
                        away.getValue().status() == EndpointStatus.REMOVED || random.nextBoolean();
                change(
                        away.getKey(),
                        away.getValue(),
                        EndpointStatus.READY,
                        restarted ? now : away.getValue().startedAt());
            }
        }
    }

    /**
     * In one seed of two shares take the place of others, or of none; a zone may have no endpoint.
     */
    private void share() {
        if (shared && random.nextInt(3) == 0) {
            int far = random.nextInt(4);
            int parts = 1_000 * random.nextInt(11);
            List<ZoneTrafficShare> shares = new ArrayList<>();
            if (parts > 0) {
                shares.add(new ZoneTrafficShare(1 - far % 2, parts, 20 * random.nextInt(3)));
            }
            if (parts < 8_000) {
                shares.add(
                        new ZoneTrafficShare(
                                far,
                                10_000 - parts - random.nextInt(2_000),
                                20 * random.nextInt(3)));
            }
            driver.zoneSharesUpdated(random.nextInt(4) == 0 ? List.of() : shares);
        }
    }

    private boolean settled(Endpoint node) {
        return node.status() == EndpointStatus.READY
                && (node.startedAt() == 0
                        || now - node.startedAt() > settings.safety().slowStartNanos());
    }

    private void change(String name, Endpoint node, EndpointStatus state, long startedAt) {
        // So few are away at once that the others bear what comes.
        if (settled(node) && nodes.values().stream().filter(n -> !settled(n)).count() >= MAX_AWAY) {
            return;
        }
        nodes.put(name, Site.endpoint(node.id(), node.zone(), node.cell(), state, startedAt));
        if (random.nextInt(4) > 0) {
            tell(EndpointListKind.DELTA, Map.of(name, nodes.get(name)));
        }
    }

    /**
     * A list reaches the instance: as {@code EndpointConnectionPool} does, and as {@code
     * ProxyServer} does.
     */
    private void tell(EndpointListKind kind, Map<String, Endpoint> list) {
        List<AdminOverrides.NamedEndpoint> named = new ArrayList<>();
        if (kind != EndpointListKind.DELTA) {
            for (String name : nodes.keySet()) {
                if (!list.containsKey(name) || list.get(name).status() == EndpointStatus.REMOVED) {
                    model.told(now, name, EndpointStatus.REMOVED, 0, 0, 0);
                }
            }
            known.clear();
        }
        list.forEach(
                (name, node) -> {
                    if (kind == EndpointListKind.DELTA || node.status() != EndpointStatus.REMOVED) {
                        model.told(
                                now,
                                name,
                                node.status(),
                                node.zone(),
                                node.cell(),
                                node.startedAt());
                        named.add(new AdminOverrides.NamedEndpoint(name, node));
                        if (node.status() == EndpointStatus.REMOVED) {
                            known.remove(node.id());
                        } else {
                            known.put(node.id(), name);
                        }
                    }
                });
        List<Endpoint> shown = rotation.updateListed(kind, named);
        driver.endpointsUpdated(
                kind,
                fault == Fault.IGNORES_BANS
                        ? named.stream().map(AdminOverrides.NamedEndpoint::endpoint).toList()
                        : shown);
    }

    private void byHand(String name) {
        boolean bar = !disabled.contains(name);
        if (bar && disabled.size() >= 2) {
            return;
        }
        model.barred(now, name, bar);
        if (bar) {
            disabled.add(name);
            rotation.disable(name);
        } else {
            disabled.remove(name);
            rotation.enable(name, now);
        }
        Endpoint shown = rotation.effectiveEndpoint(name);
        if (shown != null && fault != Fault.IGNORES_BANS) {
            driver.endpointsUpdated(EndpointListKind.DELTA, List.of(shown));
            if (!bar) {
                driver.endpointReenabled(shown.id());
            }
        }
    }

    // ---- clients ----

    private void arrive() {
        long requestId = ++lastRequest;
        int index = random.nextInt(settings.classes().size());
        RequestClass kind = settings.classes().get(index);
        long wait = 50 * MS + random.nextLong(950 * MS);
        boolean uploads = random.nextInt(12) == 0;
        long toDriver = wait + (fault == Fault.ANSWERS_LATE ? 400 * MS : 0);
        long work = random.nextBoolean() ? 0 : 20 * MS;
        model.taken(now, requestId, kind);
        var request =
                new Request(
                        requestId,
                        index,
                        0,
                        now + toDriver + (uploads ? 60_000 * MS : 0),
                        0,
                        false,
                        kind.idempotency() != Idempotency.SAFE,
                        work,
                        uploads);
        Exchange<String, String> exchange =
                new Exchange<>(request, "q" + requestId, new Answers(requestId));
        if (uploads) {
            uploading.put(requestId, exchange.withUpload(toDriver));
            at(now + random.nextLong(150 * MS), () -> whole(requestId, wait));
        } else {
            model.whole(now, requestId, now + wait);
        }
        driver.accept(exchange);
        if (random.nextInt(20) == 0) {
            at(now + random.nextLong(200 * MS), () -> leave(requestId, exchange));
        }
    }

    private void whole(long requestId, long wait) {
        Exchange<String, String> exchange = uploading.remove(requestId);
        if (exchange != null) {
            model.whole(now, requestId, now + wait);
            driver.uploadComplete(exchange);
        }
    }

    /** The client has gone; the driver hears of it at once, or some time later. */
    private void leave(long requestId, Exchange<String, String> exchange) {
        uploading.remove(requestId);
        gone.add(requestId);
        model.left(now, requestId);
        if (random.nextBoolean()) {
            driver.clientLeft(exchange);
        } else {
            at(now + random.nextLong(100 * MS), () -> driver.clientLeft(exchange));
        }
    }

    private final class Answers implements Exchange.Reply<String> {
        private final long requestId;

        Answers(long requestId) {
            this.requestId = requestId;
        }

        private void got(RulesModel.Answer how, int by) {
            uploading.remove(requestId);
            if (gone.contains(requestId)) {
                return; // nobody hears it
            }
            if (fault == Fault.FORGETS_TO_ANSWER && requestId % 50 == 0) {
                return;
            }
            model.answered(now, requestId, how, by);
            transcript
                    .append(now)
                    .append(' ')
                    .append(how)
                    .append(' ')
                    .append(requestId)
                    .append('\n');
            if (fault == Fault.ANSWERS_TWICE && requestId % 50 == 0) {
                model.answered(now, requestId, how, by);
            }
        }

        @Override
        public void served(String answer) {
            served++;
            int by = Integer.parseInt(answer);
            got(RulesModel.Answer.SERVED, fault == Fault.MAKES_UP_AN_ANSWER ? by + 1 : by);
        }

        @Override
        public void rejected(long retryAfter) {
            got(RulesModel.Answer.REFUSED, -1);
        }

        @Override
        public void failed() {
            got(RulesModel.Answer.FAILED, -1);
        }

        @Override
        public boolean isClientWaiting() {
            return !gone.contains(requestId);
        }
    }

    // ---- the sides round the driver ----

    private final class Clock implements TimerService {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer at(long instant, Runnable task) {
            Due entry = new Due(Math.max(instant, now + 1), order++, instance, task);
            due.add(entry);
            return () -> due.remove(entry);
        }
    }

    private final class Discovery implements EndpointDiscovery {
        @Override
        public void watch(boolean on) {
            if (random.nextBoolean()) {
                at(now + 100 * MS, () -> driver.endpointsUnavailable());
            }
        }

        @Override
        public void fetchAll() {}
    }

    /**
     * Endpoints, whose outcomes come late, twice, in another order, and of what was given up; and
     * connections to them, of which some come up late.
     */
    private final class Client implements AttemptTransport<String, String> {
        private final Map<RequestAttempt<String, String>, Boolean> told = new HashMap<>();
        private final Set<RequestAttempt<String, String>> written = new HashSet<>();

        @Override
        public boolean knowsEndpoint(long endpoint) {
            return known.containsKey(endpoint) || endpoint == STRANGER;
        }

        @Override
        public void startAttempt(RequestAttempt<String, String> attempt) {
            String node = known.getOrDefault(attempt.endpoint(), "stranger");
            if (random.nextInt(8) > 0) {
                go(attempt, node);
            } else {
                at(now + random.nextLong(1500 * MS), () -> go(attempt, node));
            }
        }

        private void go(RequestAttempt<String, String> attempt, String node) {
            if (!driver.mayStart(attempt) && fault != Fault.BEGINS_FOR_NOBODY) {
                return;
            }
            long request = attempt.exchange().request().id();
            model.sent(now, request, attempt.number(), node);
            boolean half = uploading.containsKey(request);
            if (!half) {
                written.add(attempt);
                attempt.writeComplete(now);
            }
            int draw = random.nextInt(20);
            Outcome how =
                    draw < 2
                            ? Outcome.ERROR
                            : draw < 4
                                    ? Outcome.REJECTED
                                    : draw < 6
                                            ? Outcome.CONNECT_FAILED
                                            : draw < 8 ? Outcome.RESET : Outcome.OK;
            Outcome outcome = half ? Outcome.CONNECT_FAILED : how;
            long lasts =
                    random.nextInt(10) == 0
                            ? random.nextLong(1500 * MS)
                            : random.nextLong(150 * MS);
            if (draw == 4) {
                report(attempt, outcome); // known at once
            } else if (draw == 19 && !half) {
                at(now + lasts, () -> begin(attempt));
            } else if (draw != 18) { // else it never answers
                at(now + lasts, () -> report(attempt, outcome));
            }
            if (random.nextInt(10) == 0 && draw != 19) {
                at(now + 2 * lasts, () -> report(attempt, Outcome.values()[random.nextInt(4)]));
            }
        }

        private void begin(RequestAttempt<String, String> attempt) {
            if (told.putIfAbsent(attempt, true) == null) {
                model.ended(now, attempt.exchange().request().id(), attempt.number(), Outcome.OK);
                driver.responseStarted(attempt, String.valueOf(attempt.number()), null);
                Outcome end = random.nextBoolean() ? Outcome.OK : Outcome.RESET;
                at(now + random.nextLong(500 * MS), () -> pass(attempt, end));
            }
        }

        private void report(RequestAttempt<String, String> attempt, Outcome outcome) {
            if (told.putIfAbsent(attempt, true) == null) {
                model.ended(now, attempt.exchange().request().id(), attempt.number(), outcome);
            }
            pass(attempt, outcome);
        }

        private void pass(RequestAttempt<String, String> attempt, Outcome outcome) {
            if (outcome == Outcome.OK) {
                driver.served(
                        attempt,
                        String.valueOf(attempt.number()),
                        Site.load(random.nextInt(5), 20));
            } else {
                driver.attemptEnded(attempt, outcome, null);
            }
        }

        @Override
        public void abandonAttempt(RequestAttempt<String, String> attempt) {
            if (told.putIfAbsent(attempt, true) == null) {
                model.ended(
                        now,
                        attempt.exchange().request().id(),
                        attempt.number(),
                        written.contains(attempt) ? Outcome.CANCELLED : Outcome.CONNECT_FAILED);
            }
        }

        @Override
        public void sendProbe(long endpoint) {
            long lasts = random.nextLong(60 * MS);
            Outcome outcome = random.nextInt(6) == 0 ? Outcome.TIMEOUT : Outcome.OK;
            // An endpoint that has just started reads empty and quick.
            boolean fresh =
                    nodes.values().stream().anyMatch(n -> n.id() == endpoint && !settled(n));
            LoadBalancer.LoadReport load =
                    Site.load(
                            fresh ? 0 : 2 + random.nextInt(3), fresh ? 1 : 20 + random.nextInt(50));
            at(
                    now + lasts,
                    () ->
                            driver.probeEnded(
                                    endpoint, outcome, lasts, outcome == Outcome.OK ? load : null));
            if (random.nextInt(8) == 0) {
                long again = lasts + random.nextLong(300 * MS);
                at(
                        now + again,
                        () -> driver.probeEnded(endpoint, Outcome.OK, again, Site.load(9, 900)));
            }
        }

        @Override
        public void closeIdleConnections(long endpoint) {}
    }
}
