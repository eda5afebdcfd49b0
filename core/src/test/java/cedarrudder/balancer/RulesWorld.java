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
import cedarrudder.forwarding.StreamedResponse;
import cedarrudder.forwarding.TimerService;
import cedarrudder.forwarding.UploadProgress;
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
 * Drives the real request forwarder, balancer and admin overrides with random events that are legal
 * but unusual, and reports each step to the model of the rules as well. Everything is drawn from
 * one seed. A {@link Fault} makes one part wrong on purpose, which the model must catch.
 */
final class RulesWorld {

    /** The part that is made wrong on purpose. */
    enum Fault {
        NONE(""),
        RESENDS_SINGLE_SEND("unsafe request sent twice"),
        REFUSES_WHAT_MAY_HAVE_RUN("rejected though it may have run"),
        LEAVES_THE_POD("sent again outside its key scope"),
        FORGETS_THE_WINDOW("sent again after its key window"),
        TRIES_WITHOUT_END("too many attempts"),
        COPIES_WHERE_FORBIDDEN("hedged request where hedging is off"),
        ANSWERS_TWICE("a second answer"),
        FORGETS_TO_ANSWER("no answer"),
        ANSWERS_LATE("answered too late"),
        SENDS_TO_DRAINING("sent to an endpoint that is draining, removed or disabled"),
        IGNORES_BANS("sent to an endpoint that is draining, removed or disabled"),
        SENDS_TO_UNLISTED("sent to an endpoint that was never listed"),
        PUSHES_COLD_NODES("cold endpoint overloaded"),
        SENDS_AFTER_THE_END("attempt requested after the request ended"),
        BEGINS_FOR_NOBODY("attempt started after the request ended"),
        BEGINS_ON_DRAINING("sent to an endpoint that is draining, removed or disabled"),
        BEGINS_AFTER_THE_WINDOW("sent again after its key window"),
        MAKES_UP_AN_ANSWER("served an answer that no endpoint gave");

        /** The rule that the fault breaks. */
        final String rule;

        Fault(String rule) {
            this.rule = rule;
        }
    }

    private static final long MS = Site.MS;
    private static final int NODES = 9;
    private static final int MAX_UNSETTLED = 3;
    private static final long UNLISTED_ENDPOINT = 999;

    /** Faults that show only if the balancer permits each attempt to start. */
    private static final Set<Fault> WITHOUT_START_DENIAL =
            Set.of(
                    Fault.RESENDS_SINGLE_SEND,
                    Fault.BEGINS_ON_DRAINING,
                    Fault.BEGINS_AFTER_THE_WINDOW);

    /** Requests per second that each warm endpoint can serve. */
    private static final double CAPACITY = 12;

    /** Mean time between two requests, in nanoseconds. */
    private static final long MEAN_INTERVAL = 25 * MS;

    private record Due(long at, long order, int instance, Runnable what) {}

    final SplittableRandom random;
    private final Fault fault;
    private final BalancerSettings settings;
    private final boolean changesZoneShares;
    private final RulesModel model;
    private final StringBuilder transcript = new StringBuilder();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));

    /** The current endpoints by name; {@link #staleEndpoints} is an earlier state of them. */
    private final Map<String, Endpoint> nodes = new TreeMap<>();

    private Map<String, Endpoint> staleEndpoints = Map.of();
    private final TreeSet<String> disabled = new TreeSet<>();
    private final Map<Long, Exchange<String, String>> uploading = new HashMap<>();

    /** The requests whose clients have left, even if the forwarder has not been notified yet. */
    private final Set<Long> departedClients = new HashSet<>();

    private Map<Long, String> listedNames = new HashMap<>();
    private AdminOverrides overrides;
    private RequestMetrics metrics;
    private RequestForwarder<String, String> forwarder;
    private LoadBalancer.Actions balancerActions;
    private int instance;
    private long now;
    private long order;
    private long lastRequest;
    private int served;

    RulesWorld(long seed, Fault fault) {
        this.random = new SplittableRandom(seed);
        this.fault = fault;
        this.changesZoneShares = seed / 2 % 2 == 1;
        // Zero has no special meaning as an instant: some runs begin before it.
        this.now = seed % 2 == 0 ? 5000 * MS : -4000 * MS;
        Site site = new Site();
        site.classes =
                List.of(Site.SAFE, Site.UNSAFE, Site.KEYED, Site.KEYED_IN_CELL, Site.KEYED_IN_ZONE);
        site.hedging = random.nextBoolean() && fault != Fault.COPIES_WHERE_FORBIDDEN;
        site.pollsEndpoints = random.nextBoolean();
        site.tenants = List.of(new BalancerSettings.Tenant("a", 1, 100));
        site.tiers = 2;
        site.tier = fault == Fault.NONE ? random.nextInt(2) : 1;
        site.maxAttempts = 1 + random.nextInt(4);
        site.drainGrace = 100 * MS; // shorter than many connections take to open
        if (fault.rule.startsWith("sent again") || fault == Fault.TRIES_WITHOUT_END) {
            site.maxAttempts = 4;
        }
        BalancerSettings real = site.settings();
        model = new RulesModel(site.maxAttempts, site.hedging, real.safety(), CAPACITY, 50 * MS);
        if (fault == Fault.TRIES_WITHOUT_END) {
            site.maxAttempts = 9;
        }
        settings = site.settings();
    }

    // ---- the run ----

    /**
     * Runs the given number of requests; on an error, {@link #events} is the number of events up to
     * the failure.
     */
    void run(int requests) {
        for (int i = 1; i <= NODES; i++) {
            nodes.put("n" + i, Site.endpoint(i, i % 2, i % 3, EndpointStatus.READY, 0));
        }
        staleEndpoints = new TreeMap<>(nodes);
        startInstance();
        long when = now;
        for (int i = 0; i < requests; i++) {
            when += random.nextLong(2 * MEAN_INTERVAL);
            scheduleForAnyInstance(when, this::arrive);
        }
        long end = when + 3000 * MS;
        for (long t = now; t < end; t += 150 * MS) {
            scheduleForAnyInstance(t, this::changeEndpoints);
            scheduleForAnyInstance(t + 75 * MS, this::changeZoneShares);
        }
        scheduleForAnyInstance(now + (end - now) / 2, this::killAndRestart);
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
        for (int kind = 0; kind < metrics.classes(); kind++) {
            for (End how : End.values()) {
                ended += metrics.ended(kind, how);
            }
            ended -= metrics.accepted(kind);
        }
        if (ended + metrics.openRequests() != 0 || metrics.openRequests() != 0) {
            throw new AssertionError(
                    "counted ends minus accepted requests: "
                            + ended
                            + "; still open: "
                            + metrics.openRequests()
                            + " requests");
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

    /** Schedules an event that runs whichever instance is running then. */
    private void scheduleForAnyInstance(long when, Runnable what) {
        due.add(new Due(when, order++, 0, what));
    }

    /**
     * Schedules an event of the current instance, which is dropped when that instance is killed.
     */
    private void at(long when, Runnable what) {
        due.add(new Due(when, order++, instance, what));
    }

    private void startInstance() {
        instance++;
        listedNames = new HashMap<>();
        overrides = new AdminOverrides();
        disabled.forEach(overrides::disable);
        metrics = new RequestMetrics(settings.classes().size());
        uploading.clear();
        SplittableRandom balancerRandom = random.split();
        forwarder =
                new RequestForwarder<>(
                        actions -> interceptedBalancer(actions, balancerRandom),
                        settings.limits().maxAttempts(),
                        new Clock(),
                        new Logger(new PrintStream(OutputStream.nullOutputStream())),
                        null,
                        metrics);
        forwarder.attach(new Client(), new Discovery(), (replica, message) -> {});
        sendEndpointList(EndpointListKind.CACHED, staleEndpoints);
    }

    private void killAndRestart() {
        model.killed(now);
        startInstance();
    }

    // ---- fault injection ----

    private LoadBalancer interceptedBalancer(
            LoadBalancer.Actions forwarderActions, SplittableRandom balancerRandom) {
        balancerActions =
                intercepted(LoadBalancer.Actions.class, forwarderActions, this::onBalancerAction);
        BalancerSettings balancerSettings = settings;
        if (fault == Fault.FORGETS_THE_WINDOW || fault == Fault.COPIES_WHERE_FORBIDDEN) {
            Site wrong = new Site();
            wrong.hedging = fault == Fault.COPIES_WHERE_FORBIDDEN || settings.limits().hedging();
            wrong.pollsEndpoints = settings.pollsEndpoints();
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
            balancerSettings = wrong.settings();
        }
        return intercepted(
                LoadBalancer.class,
                new PrequalBalancer(balancerSettings, balancerRandom, balancerActions),
                this::onBalancerEvent);
    }

    private interface CallInterceptor {
        /** Changes the arguments of a call, or does something else in addition. */
        void change(String method, Object[] arguments);
    }

    private <T> T intercepted(Class<T> type, T sound, CallInterceptor interceptor) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, arguments) -> {
                            if (arguments != null) {
                                interceptor.change(method.getName(), arguments);
                            }
                            try {
                                if (fault == Fault.REFUSES_WHAT_MAY_HAVE_RUN
                                        && method.getName().equals("fail")) {
                                    balancerActions.reject((long) arguments[0], 0);
                                    return null;
                                }
                                if (WITHOUT_START_DENIAL.contains(fault)
                                        && method.getName().equals("startDenial")) {
                                    return null;
                                }
                                return method.invoke(sound, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        }));
    }

    /** Intercepts an action of the balancer before it reaches the forwarder. */
    private void onBalancerAction(String action, Object[] a) {
        transcript.append(now).append(' ').append(action).append(' ').append(a[0]).append('\n');
        if (action.equals("startAttempt")) {
            if (!departedClients.contains((long) a[0])) {
                model.attemptRequested(now, (long) a[0]);
            }
            if (fault == Fault.LEAVES_THE_POD) {
                List<Long> ready =
                        nodes.values().stream()
                                .filter(n -> n.status() == EndpointStatus.READY)
                                .map(Endpoint::id)
                                .toList();
                a[1] = ready.get(random.nextInt(ready.size()));
            } else if (fault == Fault.SENDS_TO_UNLISTED && random.nextInt(20) == 0) {
                a[1] = UNLISTED_ENDPOINT;
            }
        }
    }

    /** Intercepts an event before it reaches the balancer. */
    @SuppressWarnings("unchecked")
    private void onBalancerEvent(String event, Object[] a) {
        if (event.equals("onEndpoints")) {
            boolean hidesDraining = fault == Fault.SENDS_TO_DRAINING;
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
                                                            hidesDraining
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
            balancerActions.startAttempt((long) a[1], (long) a[3], 0);
        } else if (event.equals("onAttemptEnded")
                && (boolean) a[6]
                && fault == Fault.SENDS_AFTER_THE_END) {
            balancerActions.startAttempt((long) a[1], (long) a[3], 0);
        }
    }

    // ---- endpoints and discovery ----

    private void changeEndpoints() {
        String name = "n" + (1 + random.nextInt(NODES));
        Endpoint node = nodes.get(name);
        switch (random.nextInt(10)) {
            case 8 -> {
                // The endpoint moves to another cell and keeps running, which discovery may report
                // late.
                nodes.put(
                        name,
                        Site.endpoint(
                                node.id(),
                                node.zone(),
                                (node.cell() + 1) % 3,
                                node.status(),
                                node.startedAt()));
                sendEndpointList(EndpointListKind.DELTA, Map.of(name, nodes.get(name)));
            }
            case 0, 1 -> change(name, node, EndpointStatus.DRAINING, node.startedAt());
            case 2 -> change(name, node, EndpointStatus.REMOVED, node.startedAt());
            case 3 -> change(name, node, EndpointStatus.READY, now);
            case 4 -> sendEndpointList(EndpointListKind.FULL, nodes);
            case 5 -> sendEndpointList(EndpointListKind.FULL, staleEndpoints);
            case 6 -> sendEndpointList(EndpointListKind.DELTA, nodes);
            case 7 -> toggleAdminOverride(name);
            default -> staleEndpoints = new TreeMap<>(nodes);
        }
        for (Map.Entry<String, Endpoint> unavailable : List.copyOf(nodes.entrySet())) {
            if (unavailable.getValue().status() != EndpointStatus.READY && random.nextInt(6) == 0) {
                // Ready again after a restart, or because the drain was cancelled.
                boolean restarted =
                        unavailable.getValue().status() == EndpointStatus.REMOVED
                                || random.nextBoolean();
                change(
                        unavailable.getKey(),
                        unavailable.getValue(),
                        EndpointStatus.READY,
                        restarted ? now : unavailable.getValue().startedAt());
            }
        }
    }

    /**
     * Replaces the zone shares or removes them, in every second pair of seeds; a zone may have no
     * endpoint.
     */
    private void changeZoneShares() {
        if (changesZoneShares && random.nextInt(3) == 0) {
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
            forwarder.zoneSharesUpdated(random.nextInt(4) == 0 ? List.of() : shares);
        }
    }

    private boolean settled(Endpoint node) {
        return node.status() == EndpointStatus.READY
                && (node.startedAt() == 0
                        || now - node.startedAt() > settings.safety().slowStartNanos());
    }

    private void change(String name, Endpoint node, EndpointStatus state, long startedAt) {
        // Few enough are unavailable at once that the others can serve the load.
        if (settled(node)
                && nodes.values().stream().filter(n -> !settled(n)).count() >= MAX_UNSETTLED) {
            return;
        }
        nodes.put(name, Site.endpoint(node.id(), node.zone(), node.cell(), state, startedAt));
        if (random.nextInt(4) > 0) {
            sendEndpointList(EndpointListKind.DELTA, Map.of(name, nodes.get(name)));
        }
    }

    /**
     * Sends an endpoint list to the instance, as {@code EndpointConnectionPool} and {@code
     * ProxyServer} do.
     */
    private void sendEndpointList(EndpointListKind kind, Map<String, Endpoint> list) {
        List<AdminOverrides.NamedEndpoint> named = new ArrayList<>();
        if (kind != EndpointListKind.DELTA) {
            for (String name : nodes.keySet()) {
                if (!list.containsKey(name) || list.get(name).status() == EndpointStatus.REMOVED) {
                    model.listed(now, name, EndpointStatus.REMOVED, 0, 0, 0);
                }
            }
            listedNames.clear();
        }
        list.forEach(
                (name, node) -> {
                    if (kind == EndpointListKind.DELTA || node.status() != EndpointStatus.REMOVED) {
                        model.listed(
                                now,
                                name,
                                node.status(),
                                node.zone(),
                                node.cell(),
                                node.startedAt());
                        named.add(new AdminOverrides.NamedEndpoint(name, node));
                        if (node.status() == EndpointStatus.REMOVED) {
                            listedNames.remove(node.id());
                        } else {
                            listedNames.put(node.id(), name);
                        }
                    }
                });
        List<Endpoint> shown = overrides.updateListed(kind, named);
        forwarder.endpointsUpdated(
                kind,
                fault == Fault.IGNORES_BANS
                        ? named.stream().map(AdminOverrides.NamedEndpoint::endpoint).toList()
                        : shown);
    }

    private void toggleAdminOverride(String name) {
        boolean disabling = !disabled.contains(name);
        if (disabling && disabled.size() >= 2) {
            return;
        }
        model.disabled(now, name, disabling);
        if (disabling) {
            disabled.add(name);
            overrides.disable(name);
        } else {
            disabled.remove(name);
            overrides.enable(name, now);
        }
        Endpoint shown = overrides.effectiveEndpoint(name);
        if (shown != null && fault != Fault.IGNORES_BANS) {
            forwarder.endpointsUpdated(EndpointListKind.DELTA, List.of(shown));
            if (!disabling) {
                forwarder.endpointReenabled(shown.id());
            }
        }
    }

    // ---- clients ----

    private void arrive() {
        long requestId = ++lastRequest;
        int index = random.nextInt(settings.classes().size());
        RequestClass kind = settings.classes().get(index);
        long clientPatience = 50 * MS + random.nextLong(950 * MS);
        boolean uploads = random.nextInt(12) == 0;
        long forwarderPatience = clientPatience + (fault == Fault.ANSWERS_LATE ? 400 * MS : 0);
        long work = random.nextBoolean() ? 0 : 20 * MS;
        model.accepted(now, requestId, kind);
        var request =
                new Request(
                        requestId,
                        index,
                        0,
                        now + forwarderPatience + (uploads ? 60_000 * MS : 0),
                        0,
                        false,
                        kind.idempotency() != Idempotency.SAFE,
                        work,
                        uploads);
        Exchange<String, String> exchange =
                new Exchange<>(request, "q" + requestId, new RecordingReply(requestId));
        if (uploads) {
            uploading.put(
                    requestId,
                    exchange.withUpload(
                            forwarderPatience, new UploadProgress(UploadProgress.UNKNOWN_LENGTH)));
            at(now + random.nextLong(150 * MS), () -> completeUpload(requestId, clientPatience));
        } else {
            model.uploadCompleted(now, requestId, now + clientPatience);
        }
        forwarder.accept(exchange);
        if (random.nextInt(20) == 0) {
            at(now + random.nextLong(200 * MS), () -> clientLeaves(requestId, exchange));
        }
    }

    private void completeUpload(long requestId, long clientPatience) {
        Exchange<String, String> exchange = uploading.remove(requestId);
        if (exchange != null) {
            model.uploadCompleted(now, requestId, now + clientPatience);
            forwarder.uploadComplete(exchange, now);
        }
    }

    /** The client leaves; the forwarder is notified at once or some time later. */
    private void clientLeaves(long requestId, Exchange<String, String> exchange) {
        uploading.remove(requestId);
        departedClients.add(requestId);
        model.clientLeft(now, requestId);
        if (random.nextBoolean()) {
            forwarder.clientLeft(exchange);
        } else {
            at(now + random.nextLong(100 * MS), () -> forwarder.clientLeft(exchange));
        }
    }

    private final class RecordingReply implements Exchange.Reply<String> {
        private final long requestId;

        RecordingReply(long requestId) {
            this.requestId = requestId;
        }

        private void recordAnswer(RulesModel.Answer how, int by) {
            uploading.remove(requestId);
            if (departedClients.contains(requestId)) {
                return; // the client has left
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
            recordAnswer(RulesModel.Answer.SERVED, fault == Fault.MAKES_UP_AN_ANSWER ? by + 1 : by);
        }

        @Override
        public void rejected(long retryAfter) {
            recordAnswer(RulesModel.Answer.REFUSED, -1);
        }

        @Override
        public void failed() {
            recordAnswer(RulesModel.Answer.FAILED, -1);
        }

        @Override
        public boolean isClientWaiting() {
            return !departedClients.contains(requestId);
        }
    }

    // ---- clock, discovery and transport of the forwarder ----

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
                at(now + 100 * MS, () -> forwarder.endpointsUnavailable());
            }
        }

        @Override
        public void fetchAll() {}
    }

    /**
     * Simulates the endpoints and the connections to them. Outcomes arrive late, twice, out of
     * order, and for abandoned attempts; some connections open late.
     */
    private final class Client implements AttemptTransport<String, String> {
        private final Map<RequestAttempt<String, String>, Boolean> endRecorded = new HashMap<>();
        private final Set<RequestAttempt<String, String>> written = new HashSet<>();

        @Override
        public boolean knowsEndpoint(long endpoint) {
            return listedNames.containsKey(endpoint) || endpoint == UNLISTED_ENDPOINT;
        }

        @Override
        public void startAttempt(RequestAttempt<String, String> attempt) {
            String node = listedNames.getOrDefault(attempt.endpoint(), "stranger");
            if (random.nextInt(8) > 0) {
                startOnConnection(attempt, node);
            } else {
                at(now + random.nextLong(1500 * MS), () -> startOnConnection(attempt, node));
            }
        }

        private void startOnConnection(RequestAttempt<String, String> attempt, String node) {
            if (!forwarder.mayStart(attempt) && fault != Fault.BEGINS_FOR_NOBODY) {
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
            long duration =
                    random.nextInt(10) == 0
                            ? random.nextLong(1500 * MS)
                            : random.nextLong(150 * MS);
            if (draw == 4) {
                reportEnd(attempt, outcome); // the outcome is known at once
            } else if (draw == 19 && !half) {
                at(now + duration, () -> startResponse(attempt));
            } else if (draw != 18) { // otherwise the endpoint never answers
                at(now + duration, () -> reportEnd(attempt, outcome));
            }
            if (random.nextInt(10) == 0 && draw != 19) {
                at(
                        now + 2 * duration,
                        () -> reportEnd(attempt, Outcome.values()[random.nextInt(4)]));
            }
        }

        private void startResponse(RequestAttempt<String, String> attempt) {
            if (endRecorded.putIfAbsent(attempt, true) == null) {
                model.ended(now, attempt.exchange().request().id(), attempt.number(), Outcome.OK);
                forwarder.responseStarted(
                        attempt,
                        String.valueOf(attempt.number()),
                        null,
                        new StreamedResponse(
                                attempt.number() == 0 ? 2 : StreamedResponse.UNKNOWN_LENGTH,
                                1,
                                now));
                Outcome end = random.nextBoolean() ? Outcome.OK : Outcome.RESET;
                at(now + random.nextLong(500 * MS), () -> forwardEnd(attempt, end));
            }
        }

        private void reportEnd(RequestAttempt<String, String> attempt, Outcome outcome) {
            if (endRecorded.putIfAbsent(attempt, true) == null) {
                model.ended(now, attempt.exchange().request().id(), attempt.number(), outcome);
            }
            forwardEnd(attempt, outcome);
        }

        private void forwardEnd(RequestAttempt<String, String> attempt, Outcome outcome) {
            if (outcome == Outcome.OK) {
                forwarder.served(
                        attempt,
                        String.valueOf(attempt.number()),
                        Site.load(random.nextInt(5), 20));
            } else {
                forwarder.attemptEnded(attempt, outcome, null);
            }
        }

        @Override
        public void abandonAttempt(RequestAttempt<String, String> attempt) {
            if (endRecorded.putIfAbsent(attempt, true) == null) {
                model.ended(
                        now,
                        attempt.exchange().request().id(),
                        attempt.number(),
                        written.contains(attempt) ? Outcome.CANCELLED : Outcome.CONNECT_FAILED);
            }
        }

        @Override
        public void sendProbe(long endpoint) {
            long duration = random.nextLong(60 * MS);
            Outcome outcome = random.nextInt(6) == 0 ? Outcome.TIMEOUT : Outcome.OK;
            // An endpoint that has just started reports itself empty and fast.
            boolean recentlyStarted =
                    nodes.values().stream().anyMatch(n -> n.id() == endpoint && !settled(n));
            LoadBalancer.LoadReport load =
                    Site.load(
                            recentlyStarted ? 0 : 2 + random.nextInt(3),
                            recentlyStarted ? 1 : 20 + random.nextInt(50));
            at(
                    now + duration,
                    () ->
                            forwarder.probeEnded(
                                    endpoint,
                                    outcome,
                                    duration,
                                    outcome == Outcome.OK ? load : null));
            if (random.nextInt(8) == 0) {
                long again = duration + random.nextLong(300 * MS);
                at(
                        now + again,
                        () -> forwarder.probeEnded(endpoint, Outcome.OK, again, Site.load(9, 900)));
            }
        }

        @Override
        public void closeIdleConnections(long endpoint) {}
    }
}
