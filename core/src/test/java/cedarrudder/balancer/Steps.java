package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;

/**
 * Applies random events of all kinds, drawn from a seed, to one replica with thirty endpoints in
 * three zones.
 */
final class Steps {

    private static final long MS = Site.MS;
    private static final int ENDPOINTS = 30;

    private record InFlight(long request, int attempt, long endpoint, long at) {}

    final Recorder recorder = new Recorder();
    final PrequalBalancer balancer;
    long now = 50 * Site.SECOND;
    private final SplittableRandom random;
    private final Site site = new Site();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final List<InFlight> inFlight = new ArrayList<>();
    private final List<Recorder.Timer> timers = new ArrayList<>();
    private final CRC32C digest = new CRC32C();
    private final List<Endpoint> list = new ArrayList<>();
    private final List<Long> probes = new ArrayList<>();
    private long requests;

    Steps(long seed) {
        random = new SplittableRandom(seed);
        site.classes =
                List.of(Site.SAFE, Site.UNSAFE, Site.KEYED, Site.KEYED_IN_CELL, Site.KEYED_IN_ZONE);
        site.tenants = List.of(new Tenant("a", 1, 80), new Tenant("b", 1, 0));
        site.replicas = 1 + random.nextInt(12);
        site.self = random.nextInt(site.replicas);
        site.tiers = 2;
        site.tier = random.nextInt(2);
        site.pollsEndpoints = random.nextBoolean();
        site.hedging = random.nextBoolean();
        balancer = new PrequalBalancer(site.settings(), random.split(), recorder);
        for (int id = 1; id <= ENDPOINTS; id++) {
            list.add(Site.endpoint(id, id % 3, id % 5, EndpointStatus.READY, 0));
        }
        balancer.onEndpoints(now, EndpointListKind.CACHED, list);
        collectActions();
    }

    /** Runs the given number of steps. */
    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            now += random.nextLong(8 * MS);
            for (Recorder.Timer timer : timers.stream().filter(t -> t.at() <= now).toList()) {
                timers.remove(timer);
                balancer.onTimer(now, timer.token());
                collectActions();
            }
            step(random.nextInt(100));
            collectActions();
        }
    }

    /** Returns a digest of all actions so far, with their arguments and in their order. */
    long digest() {
        return digest.getValue();
    }

    private void step(int draw) {
        long id = 1 + random.nextInt(ENDPOINTS);
        if (draw < 48) {
            long work = random.nextBoolean() ? 0 : random.nextLong(60 * MS);
            long deadline = now + 20 * MS + random.nextLong(900 * MS);
            Request request =
                    new Request(
                            ++requests,
                            random.nextInt(5),
                            random.nextInt(2),
                            deadline,
                            0,
                            false,
                            false,
                            work,
                            random.nextInt(20) == 0);
            balancer.onRequest(
                    now,
                    request,
                    random.nextInt(50) == 0 ? AdmissionHint.OVERLOADED : AdmissionHint.ADMIT);
        } else if (draw < 82 && !inFlight.isEmpty()) {
            InFlight ended = inFlight.remove(random.nextInt(inFlight.size()));
            int how = random.nextInt(3 * Outcome.values().length);
            Outcome outcome = how < Outcome.values().length ? Outcome.values()[how] : Outcome.OK;
            balancer.onAttemptEnded(
                    now,
                    ended.request,
                    ended.attempt,
                    ended.endpoint,
                    outcome,
                    now - ended.at,
                    outcome == Outcome.OK,
                    null);
        } else if (draw < 88 && !probes.isEmpty()) {
            boolean healthy = random.nextInt(8) > 0;
            balancer.onProbeEnded(
                    now,
                    probes.remove(random.nextInt(probes.size())),
                    healthy ? Outcome.OK : Outcome.TIMEOUT,
                    random.nextLong(5 * MS),
                    healthy ? Site.load(random.nextInt(9), 1 + random.nextInt(40)) : null);
        } else if (draw < 93) {
            Endpoint former = list.get((int) id - 1);
            EndpointStatus state =
                    random.nextInt(3) > 0
                            ? EndpointStatus.READY
                            : random.nextBoolean()
                                    ? EndpointStatus.DRAINING
                                    : EndpointStatus.REMOVED;
            list.set(
                    (int) id - 1,
                    Site.endpoint(
                            id,
                            former.zone(),
                            random.nextInt(5),
                            state,
                            former.status() == EndpointStatus.REMOVED ? now : former.startedAt()));
            balancer.onEndpoints(now, EndpointListKind.DELTA, List.of(list.get((int) id - 1)));
        } else {
            rareStep(draw, id, requests == 0 ? 1 : 1 + random.nextLong(requests));
        }
    }

    private void rareStep(int draw, long endpoint, long request) {
        switch (draw) {
            case 93 -> balancer.onEndpoints(now, EndpointListKind.FULL, list);
            case 94 -> balancer.onEndpointsUnavailable(now);
            case 95 -> balancer.onClientLeft(now, request);
            case 96 -> balancer.onUploadComplete(now, request);
            case 97 -> balancer.onEndpointReenabled(now, endpoint);
            case 98 -> balancer.onResponseAborted(now, endpoint, now - 100 * MS);
            default -> balancer.onLiveReplicas(now, 1 + random.nextInt(site.replicas));
        }
    }

    /** Collects the actions of the last step. */
    private void collectActions() {
        recorder.sent.forEach(
                sent ->
                        inFlight.add(
                                new InFlight(
                                        sent.request(),
                                        attempts.merge(sent.request(), 1, Integer::sum) - 1,
                                        sent.endpoint(),
                                        now)));
        probes.addAll(recorder.probed);
        timers.addAll(recorder.timers);
        recorder.lines.forEach(
                line -> digest.update((line + "\n").getBytes(StandardCharsets.UTF_8)));
        recorder.clear();
    }
}
