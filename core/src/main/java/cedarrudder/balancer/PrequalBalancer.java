package cedarrudder.balancer;

import cedarrudder.balancer.RequestState.Attempt;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Makes the decisions of one replica for each request, from its arrival to its final response.
 * Routes each event to the components that decide.
 *
 * <p>Where each safety property is enforced:
 *
 * <ul>
 *   <li>no request is lost: only {@link OpenRequests#end} ends a request; {@link #onAttemptEnded}
 *       responds at the deadline;
 *   <li>no effect happens twice: {@link RetryPolicy#mayAttempt} and {@link RetryPolicy#mayReject};
 *   <li>nothing is sent to a draining endpoint: {@link EndpointSelector#select} selects only ready
 *       endpoints, and {@link EndpointDirectory#update} removes a draining one from the probe pool
 *       immediately;
 *   <li>an endpoint that warms up is not overloaded: {@link SlowStartBudget}, which {@link
 *       EndpointSelector} checks.
 * </ul>
 *
 * <p>An ordinary request is routed by the hot-cold rule of {@link ProbePool}.
 */
public final class PrequalBalancer implements LoadBalancer {

    /** Interval of the maintenance timer, which runs even if no other event arrives. */
    private static final long TICK_NANOS = 250_000_000L;

    /** Number of ticks from one check for surplus connections to the next. */
    private static final int TICKS_PER_CONNECTION_CHECK = 8;

    private final BalancerSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final ServiceTimes serviceTimes;
    private final TrafficStatistics traffic;
    private final AdmissionControl admission;
    private final RetryPolicy retries;
    private final IdleConnections idleConnections;
    private final ProbePool pool;
    private final EndpointSubset subset;
    private final ProbeScheduler probes;
    private final EndpointDirectory endpoints;
    private final EndpointSelector selector;
    private final RequestQueue queue;
    private final OpenRequests requests;
    private final DiscoveryPolling discovery;

    private boolean started;
    private int ticks;

    /** Creates a balancer with the default parameters. */
    public PrequalBalancer(BalancerSettings settings, RandomGenerator random, Actions actions) {
        this(settings, BalancerParameters.DEFAULTS, random, actions);
    }

    /**
     * Creates the balancer of one replica.
     *
     * @param random the only source of randomness: with the same seed, the same events cause the
     *     same actions
     * @param actions called only during events, never later
     */
    public PrequalBalancer(
            BalancerSettings settings,
            BalancerParameters parameters,
            RandomGenerator random,
            Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        serviceTimes = new ServiceTimes(settings.classes().size(), parameters);
        traffic = new TrafficStatistics(settings.replicas());
        admission = new AdmissionControl(settings, parameters, random, serviceTimes, traffic);
        retries = new RetryPolicy(settings, parameters);
        requests = new OpenRequests(settings, parameters, actions, serviceTimes, traffic);
        idleConnections = new IdleConnections(actions);
        pool = new ProbePool(parameters);
        subset = new EndpointSubset(settings, parameters, this::onRemovedFromSubset);
        probes = new ProbeScheduler(settings, parameters, random, actions, subset, pool);
        endpoints = new EndpointDirectory(parameters, random, subset, pool);
        selector =
                new EndpointSelector(
                        settings,
                        parameters,
                        random,
                        subset,
                        pool,
                        serviceTimes,
                        traffic,
                        admission,
                        retries);
        queue =
                new RequestQueue(
                        settings.classes().size(),
                        parameters,
                        actions,
                        admission,
                        new QueueDispatcher());
        discovery = new DiscoveryPolling(settings, random, actions);
    }

    // ---- the endpoint list

    @Override
    public void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
        endpoints.update(now, kind, entries);
        if (!started) {
            started = true;
            long firstTick = now + (long) (random.nextDouble() * TICK_NANOS) + 1;
            actions.scheduleTimer(firstTick, TimerToken.of(TimerToken.Kind.TICK));
            discovery.onStart(now);
        } else {
            discovery.onList(kind);
        }
    }

    @Override
    public void onEndpointsUnavailable(long now) {
        discovery.onUnavailable(now);
    }

    @Override
    public void onEndpointReenabled(long now, long endpointId) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint != null && endpoint.isReady()) {
            probes.probe(now, endpoint);
        }
    }

    @Override
    public int avoidedEndpoints(long now) {
        return endpoints.count(
                endpoint -> !endpoint.isReady() || selector.isSuspect(now, endpoint));
    }

    /**
     * Discards the probe response of an endpoint that left the subset, so that no request is routed
     * by outdated reports, and closes its idle connections if no attempt is in flight there.
     */
    private void onRemovedFromSubset(EndpointState endpoint) {
        pool.remove(endpoint);
        if (endpoint.inFlight() == 0) {
            idleConnections.close(endpoint);
        }
    }

    // ---- arrival of requests

    @Override
    public void onRequest(long now, Request arrived) {
        RequestState request =
                new RequestState(
                        arrived,
                        settings.classes().get(arrived.classIndex()),
                        now,
                        admission.isOverQuota(now, arrived.tenant()),
                        Math.max(1, settings.limits().maxAttempts()));
        requests.add(request);
        if (!admission.admit(now, request)) {
            requests.end(request, retries.mayReject(request));
            return;
        }
        traffic.onRequest(now);
        subset.resize(traffic.averageInFlight());
        probes.onRequest(now);
        retries.onRequest();
        serviceTimes.onRequest(request);
        sendOrQueue(now, request);
        traffic.countRequest(serviceTimes.cost(request));
    }

    /**
     * Handles a request with an admission hint. No attempt was made yet, so a request that other
     * tiers know to be futile may be rejected.
     */
    @Override
    public void onRequest(long now, Request arrived, AdmissionHint hint) {
        if (hint == AdmissionHint.ADMIT) {
            onRequest(now, arrived);
        } else {
            actions.reject(
                    arrived.id(),
                    hint == AdmissionHint.OVERLOADED ? requests.retryAfterNanos() : 0);
        }
    }

    /**
     * Sends a request, or queues it until an endpoint may receive it. Ends a request whose deadline
     * has passed or that no zone may serve.
     */
    private void sendOrQueue(long now, RequestState request) {
        boolean noZoneAvailable =
                admission.hasZoneShares() && admission.candidateZones(now, request).length == 0;
        if (now >= request.deadline() || noZoneAvailable) {
            requests.end(request, retries.mayReject(request));
        } else {
            queue.add(now, request);
        }
    }

    private final class QueueDispatcher implements RequestQueue.Dispatcher {
        @Override
        public boolean trySend(long now, RequestState request) {
            EndpointState endpoint = selector.select(now, request);
            if (endpoint == null) {
                return false;
            }
            send(now, request, endpoint);
            return true;
        }

        @Override
        public void onQueueTimeout(RequestState request) {
            requests.end(request, retries.mayReject(request));
        }
    }

    private void send(long now, RequestState request, EndpointState endpoint) {
        int attempt = request.addAttempt(endpoint, now);
        if (request.isUploading()) {
            endpoint.uploadStarted();
        } else {
            traffic.addInFlight(1);
        }
        endpoint.onAttemptSent(now, serviceTimes.cost(request));
        admission.onSent(endpoint.zone());
        actions.startAttempt(request.id(), endpoint.id(), 0);
        if (attempt == 0) {
            scheduleHedge(now, request);
        }
    }

    // ---- hedged requests

    private void scheduleHedge(long now, RequestState request) {
        long delay = retries.isHedged(request) ? serviceTimes.lateAfterNanos(request) : 0;
        long objectiveExpiresAt =
                request.arrivedAt() + request.requestClass().latencyObjectiveNanos();
        if (delay > 0 && now + delay < objectiveExpiresAt) {
            actions.scheduleTimer(now + delay, TimerToken.of(TimerToken.Kind.HEDGE, request.id()));
        }
    }

    private void hedge(long now, RequestState request) {
        if (!retries.mayHedge(now, request)) {
            return;
        }
        EndpointState endpoint = selector.select(now, request);
        if (endpoint != null && !selector.isSuspect(now, endpoint)) {
            retries.onHedged();
            send(now, request, endpoint);
        }
    }

    @Override
    public void onResponsePaused(long now, long requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        if (request == null || request.isAnswered() || request.attempt(attemptNumber) == null) {
            return;
        }
        request.attempt(attemptNumber).markPaused();
        if (retries.isHedged(request)) {
            hedge(now, request);
        }
    }

    @Override
    public void onResponseStreamed(long now, long requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        if (request != null && request.attempt(attemptNumber) != null) {
            request.attempt(attemptNumber).markStreamed();
        }
    }

    // ---- end of attempts

    @Override
    public Outcome startDenial(long now, long requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        if (request == null
                || request.isAnswered()
                || request.attempt(attemptNumber) == null
                || !retries.mayStart(now, request, attemptNumber)) {
            return Outcome.NOT_STARTED;
        }
        boolean current = endpoints.isCurrent(request.attempt(attemptNumber).endpoint());
        return current ? null : Outcome.CONNECT_FAILED;
    }

    /** Closes the request: its response has begun and is final, whether it succeeds or fails. */
    @Override
    public void onFirstByte(
            long now, long requestId, int attemptNumber, long endpointId, long latency) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.isAnswered()) {
            requests.close(request, attemptNumber);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long requestId,
            int attemptNumber,
            long endpointId,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        RequestState request = requests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(attemptNumber);
        if (attempt == null || !attempt.isInFlight()) {
            return;
        }
        EndpointState endpoint = attempt.endpoint();
        request.endAttempt(attempt, outcome);
        if (request.isUploading()) {
            endpoint.uploadEnded();
        } else {
            traffic.addInFlight(-1);
        }
        if (outcome == Outcome.CONNECT_FAILED
                && now < request.deadline()
                && endpoints.isCurrent(endpoint)) {
            idleConnections.onConnectionShortage(now);
        }
        if (outcome == Outcome.OK) {
            onServed(now, request, endpoint, latency);
        }
        admission.onAttemptEnded(
                respondedAt(now, request, attempt, latency),
                request,
                outcome,
                subset.ring().size());
        endpoint.onAttemptEnded(now, outcome);
        if (outcome == Outcome.CANCELLED && attempt.isPaused() && request.isAnswered()) {
            endpoint.onOvertaken(now);
        }
        probes.onAttemptEnded(outcome);
        idleConnections.onAttemptEnded(now, endpoint);
        if (settled || request.isAnswered()) {
            requests.close(request, attemptNumber);
        } else {
            retryOrEnd(now, request, outcome);
        }
        queue.dispatch(now);
    }

    /** Returns when an attempt responded; a streamed response did with its first byte. */
    private static long respondedAt(long now, RequestState request, Attempt attempt, long latency) {
        long from = Math.max(attempt.sentAt(), request.arrivedAt());
        return attempt.isStreamed() ? Math.min(now, from + latency) : now;
    }

    private void onServed(long now, RequestState request, EndpointState endpoint, long latency) {
        endpoint.onServed(now, settings.replicas(), latency, request.expectedWorkNanos());
        serviceTimes.onServed(request, latency);
        double subsetCapacity =
                subset.members().stream()
                        .mapToDouble(member -> member.capacity(now, settings.safety()))
                        .sum();
        traffic.countServed(serviceTimes.cost(request), subsetCapacity);
        admission.onServed(now, request);
    }

    /**
     * Handles a request after a failed attempt: waits while other attempts are in flight, retries
     * the request, or ends it. After the deadline a request is rejected only if none of its
     * attempts can have run.
     */
    private void retryOrEnd(long now, RequestState request, Outcome outcome) {
        if (request.inFlight() > 0 || request.isQueued()) {
            return;
        }
        if (retries.tryRetry(now, request, outcome)) {
            sendOrQueue(now, request);
        } else {
            boolean beforeDeadline = now < request.deadline();
            requests.end(
                    request, beforeDeadline ? retries.mayReject(request) : !request.mayHaveRun());
        }
    }

    @Override
    public void onUploadComplete(long now, long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null && request.isUploading()) {
            traffic.addInFlight(request.inFlight());
            request.completeUpload(now);
        }
    }

    @Override
    public void onClientLeft(long now, long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            requests.close(request, OpenRequests.NO_ATTEMPT);
        }
    }

    @Override
    public void onResponseAborted(long now, long endpointId, long sentAt) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.onResponseAborted(now, sentAt);
        }
    }

    // ---- timers, probes and other replicas

    @Override
    public void onTimer(long now, long token) {
        TimerToken.Kind kind = TimerToken.kind(token);
        if (kind == null) {
            return;
        }
        switch (kind) {
            case TICK -> onTick(now);
            case QUEUE -> queue.onTimer(now);
            case POLL -> discovery.onTimer();
            case HEDGE -> {
                RequestState request = requests.get(TimerToken.requestId(token));
                if (request != null && !request.isAnswered()) {
                    hedge(now, request);
                }
            }
        }
    }

    private void onTick(long now) {
        // Scheduled first, so that an exception below does not stop the timer.
        actions.scheduleTimer(now + TICK_NANOS, TimerToken.of(TimerToken.Kind.TICK));
        probes.onTick(now);
        ticks++;
        if (ticks % TICKS_PER_CONNECTION_CHECK == 0) {
            idleConnections.closeSurplus(subset);
        }
    }

    @Override
    public void onProbeEnded(
            long now, long endpointId, Outcome outcome, long latency, LoadReport load) {
        EndpointState endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            probes.onProbeEnded(now, endpoint, outcome, now - latency, load);
        }
    }

    /**
     * Divides quotas by the number of live replicas. Slow start still counts all replicas, which is
     * safer.
     */
    @Override
    public void onLiveReplicas(long now, int live) {
        admission.onLiveReplicas(live);
    }

    @Override
    public void onZoneShares(long now, List<ZoneTrafficShare> shares) {
        admission.setZoneShares(shares);
        subset.setZoneShares(shares);
    }

    /** Ignores the message: this balancer sends none, since each replica decides on its own. */
    @Override
    public void onPeerMessage(long now, int from, byte[] message) {}
}
