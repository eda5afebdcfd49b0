package cedarrudder.lab.emulator;

import cedarrudder.lab.model.Model;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Proxy;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.model.Task;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * One run on sockets: the model's world, by the machine's clock, with processes in the place of its
 * proxies. All of it happens on one loop but for the starting of processes.
 */
final class Emulation implements Run.Cast {

    /**
     * The agenda's clock starts so long before the run; the rest is skipped when all proxies are
     * ready.
     */
    static final long PRELUDE = 120_000_000_000L;

    /** What is left of the prelude when the rest was skipped, and is caught up with. */
    private static final long SETTLING = 1_000_000_000L;

    /** How long a request is known after its end, so that a late attempt at it is recognised. */
    private static final long MEMORY = 10_000_000_000L;

    private static final int PROXIES_OF_A_BLOCK = 250;

    final EventLoop loop;
    final RealTimeClock time;
    final HostEnvironment place;
    final ReorderBuffer trace;
    final long graceToAnswer;
    final WireFaults wires;

    /** Ends with the run; with an exception where it could not be played. */
    final CompletableFuture<Void> over = new CompletableFuture<>();

    /** Ends when all proxies are ready. */
    final CompletableFuture<Void> ready = new CompletableFuture<>();

    /** What clients saw since the last look. */
    final ClientOutcomes seen = new ClientOutcomes();

    /** requests that a proxy took and did not answer before it ended at a planned restart. */
    long lostAtRestarts;

    final long epochNanos;
    private final Run run;
    private final Map<String, WireRequest> tries = new HashMap<>();
    private final Map<Node, EndpointServer> sides = new LinkedHashMap<>();
    private final List<EmulatedProxy> proxies = new ArrayList<>();
    private int starting;
    private long ids;

    Emulation(
            Scenario scenario,
            long seed,
            String variant,
            Trace trace,
            HostEnvironment place,
            EventLoop loop) {
        this.loop = loop;
        this.place = place;
        this.trace = new ReorderBuffer(trace);
        this.time = new RealTimeClock(loop, over::completeExceptionally);
        this.graceToAnswer = scenario.rules().answerGrace() + ReorderBuffer.HOLD;
        this.run = new Run(scenario, seed, variant, this.trace, Model.START - PRELUDE, this);
        this.epochNanos = System.currentTimeMillis() * 1_000_000 - run.agenda.now();
        this.wires = new WireFaults(this);
    }

    Run run() {
        return run;
    }

    long now() {
        return run.agenda.now();
    }

    /** Puts all in place and starts the processes; on the loop. */
    void begin() {
        time.begin(run.agenda);
        time.turn(
                () -> {
                    starting = 1;
                    run.begin();
                    wires.schedule();
                    started();
                });
    }

    /** Clients come now. */
    void play() {
        after(run.until - now(), () -> over.complete(null));
        after(Model.START + run.scenario.run().lead() - now(), time::measureAnew);
        time.skipTo(
                Model.START - SETTLING,
                () -> {
                    // Nodes catch up with their reports of the time that was skipped.
                    for (int tier = 0; tier < run.world.tiers.size(); tier++) {
                        run.nodesOf(tier).forEach(Node::advance);
                    }
                });
    }

    /** A proxy is being started. */
    void starts() {
        starting++;
    }

    /** One of those that were being started is ready, or won't be. */
    void started() {
        if (--starting == 0) {
            ready.complete(null);
        }
    }

    /** The run can't go on, or found what must not be. */
    void find(String finding) {
        run.end(finding);
        over.complete(null);
    }

    /** Does something later, on the run's clock. */
    void after(long delay, Runnable what) {
        run.agenda.at(
                now() + delay,
                new Task() {
                    @Override
                    protected void run() {
                        what.run();
                    }
                });
    }

    @Override
    public Proxy proxy(Run of, int number, int tier, int self, int zone) {
        EmulatedProxy proxy = new EmulatedProxy(this, of, number, tier, self, zone);
        proxies.add(proxy);
        return proxy;
    }

    @Override
    public void changed(Node node) {
        EndpointServer side = sides.get(node);
        if (side != null) {
            side.changed();
        }
    }

    EndpointServer side(Node node) {
        return sides.computeIfAbsent(node, each -> new EndpointServer(this, each));
    }

    List<EmulatedProxy> proxies() {
        return proxies;
    }

    /** An address that is reserved for what one proxy reaches. {@code place}: from 1 on. */
    static String host(int proxy, int place) {
        return "127."
                + (64 + proxy / PROXIES_OF_A_BLOCK)
                + '.'
                + (1 + proxy % PROXIES_OF_A_BLOCK)
                + '.'
                + (1 + (place - 1) % PROXIES_OF_A_BLOCK);
    }

    // ---- requests ----

    /** A number that no other try of the run has. */
    long nextId() {
        return ++ids;
    }

    /** A request is on the wire, and may reach nodes from now on. */
    void onTheWire(WireRequest what) {
        tries.put(what.id(), what);
        after(
                Math.max(0, what.what().deadline() - now()) + MEMORY,
                () -> tries.remove(what.id(), what));
    }

    /** The request of an id; null where no client sent one lately. */
    WireRequest request(String id) {
        return tries.get(id);
    }

    /** Closes all ports; on the loop. */
    void close() {
        time.end();
        sides.values().forEach(EndpointServer::close);
        proxies.forEach(EmulatedProxy::close);
    }
}
