package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A place where a machine stands, under one address: it may be replaced by another one with a new
 * id.
 *
 * <p>Requests in slots share the cores evenly (processor sharing); one that calls the next tier
 * keeps its slot and takes no core. Handshakes and probes go before all of them. What the cores do
 * is less while the machine is cold, slow, choked, crowded or full of connections.
 */
public final class Node {

    /** While a machine warms up, what it can do is looked at anew this often. */
    private static final long WARMING_STEP = 50_000_000L;

    /**
     * A part of work counts as done when less than this is left, in nanoseconds: this avoids
     * rounding.
     */
    private static final double ROUNDING = 0.5;

    private enum State {
        UP,
        DOWN,
        VANISHED
    }

    final Run run;
    public final int tier;
    public final int index;
    public final World.Tier drawn;
    public final World.Kind kind;
    public final World.Machine machine;
    public final int zone;

    /** The proxy of its own for the next tier; null at the last tier. */
    public Proxy proxy;

    /** Under which lists name the machine that stands here now. */
    public long endpoint;

    /** Counts the ends of machines here. */
    public int incarnation;

    /** Its start; 0: long ago. */
    long startedAt;

    public int connections;
    Tally tally;
    boolean fallen;

    private State state = State.UP;
    private long warmAt;
    private long endedAt;
    private boolean endedSilently;

    // Troubles, counted since they may overlap.
    int silent;
    int cutTo;
    int cutFrom;
    int sinkhole;
    int declining;
    int frozen;
    boolean draining;
    private double slow = 1;
    private int slows;

    // What it holds.
    private Job[] held = new Job[8];
    private int holds;
    private Job[] active = new Job[8];
    private int actives;
    private int slotsTaken;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();

    // Processor sharing: work that each active request has had since the start.
    private double progress;
    private double perRequest;
    private double capacity;
    private double urgent;

    /** Work of declined requests that it would still have to do, had it kept them. */
    private double declinedWork;

    private final double meanWork;
    private long countedTo;

    private final Task completion =
            new Task() {
                @Override
                protected void run() {
                    advance();
                    complete();
                    settle();
                }
            };

    private final Task warming =
            new Task() {
                @Override
                protected void run() {
                    advance();
                    settle();
                    if (state == State.UP && run.agenda.now() < warmAt) {
                        run.agenda.at(Math.min(warmAt, run.agenda.now() + WARMING_STEP), this);
                    }
                }
            };

    private final Reports reports;
    private final ChokeWatch choke;
    private final ColdBudget coldBudget;
    private double probesSaved;
    private long probesAt;

    Node(Run run, int tier, int index) {
        this.run = run;
        this.tier = tier;
        this.index = index;
        this.drawn = run.world.tiers.get(tier);
        this.machine = drawn.machines().get(index);
        this.kind = drawn.kinds().get(machine.kind());
        this.zone = machine.zone();
        this.meanWork = Math.max(1, run.world.meanWork() * drawn.workShare());
        this.countedTo = run.agenda.now();
        this.reports = new Reports(this, run);
        this.choke = drawn.choking() == null ? null : new ChokeWatch(this, drawn.choking());
        this.coldBudget = new ColdBudget(run.scenario.rules(), run.agenda.now());
        this.probesSaved = drawn.probesPerSecond() * kind.cores();
        this.probesAt = run.agenda.now();
    }

    // ---- what can be seen of it ----

    public boolean up() {
        return state == State.UP;
    }

    /** Whether messages reach it. */
    public boolean hears() {
        return state != State.VANISHED && silent == 0 && cutTo == 0;
    }

    /** Whether its messages reach others. */
    public boolean speaks() {
        return state != State.VANISHED && silent == 0 && cutFrom == 0;
    }

    /** Whether a machine that stood here is known to have ended, by the resets that it sent. */
    boolean knownToBeOver(int formerIncarnation, long now) {
        return formerIncarnation < incarnation - 1
                || !endedSilently && now >= endedAt + (long) run.world.cross;
    }

    /** Takes a new connection if it may; a machine that is down, or full, refuses it. */
    public boolean accepts() {
        if (state != State.UP || connections >= drawn.connections() * kind.cores()) {
            return false;
        }
        connections++;
        advance();
        urgent += drawn.handshakeWork();
        tally.overhead += drawn.handshakeWork();
        settle();
        return true;
    }

    /** Whether a request that comes now is taken in. */
    boolean hasSpareCapacity() {
        return slotsTaken < kind.slots() || queue.size() < kind.queue();
    }

    boolean takes() {
        return state == State.UP
                && hears()
                && speaks()
                && declining == 0
                && !draining
                && hasSpareCapacity();
    }

    boolean sound() {
        return state == State.UP && hears() && speaks() && sinkhole == 0 && declining == 0;
    }

    /** What it can do now, in cores of speed 1. */
    double capacityNow() {
        return state == State.UP ? perCore(run.agenda.now()) * kind.cores() : 0;
    }

    /** What it could do if it were warm and nothing troubled it. */
    double warmCapacity() {
        return machine.speed() * kind.cores();
    }

    public int holds() {
        return holds;
    }

    /**
     * Requests that press on it beyond one for each core: those that it holds, whatever they wait
     * for, and those that it has declined and would not yet have come to in a queue without end.
     */
    double waiting() {
        return holds - kind.cores() + declinedWork / meanWork;
    }

    /** What it has declined presses on it no longer. */
    void forgetDeclined() {
        declinedWork = 0;
    }

    double backlog() {
        double left = urgent;
        for (int i = 0; i < holds; i++) {
            left += held[i].work - held[i].spent;
        }
        // What the active ones have had of their present part isn't in what they have spent.
        for (int i = 0; i < actives; i++) {
            left -= active[i].partOfWork - (active[i].finish - progressNow());
        }
        return Math.max(0, left);
    }

    private double progressNow() {
        return progress
                + perRequest
                        * Math.max(
                                0,
                                run.agenda.now()
                                        - countedTo
                                        - (capacity > 0 ? urgent / capacity : 0));
    }

    // ---- the clock of its cores ----

    /** Brings its figures up to now; to be called before anything about it changes. */
    public void advance() {
        long now = run.agenda.now();
        while (reports.due() <= now) {
            count(reports.due());
            reports.refresh(holds);
        }
        count(now);
    }

    private void count(long now) {
        double passed = now - countedTo;
        if (passed <= 0) {
            return;
        }
        double left = passed;
        double busy = 0;
        int used = Math.min(actives, kind.cores());
        if (declinedWork > 0) {
            declinedWork =
                    Math.max(
                            0, declinedWork - passed * (capacity - capacity / kind.cores() * used));
        }
        if (urgent > 0 && capacity > 0) {
            double time = Math.min(left, urgent / capacity);
            urgent = time < left ? 0 : urgent - time * capacity;
            left -= time;
            busy += time * kind.cores();
        }
        if (actives > 0) {
            progress += left * perRequest;
            busy += left * used;
        }
        reports.busy += busy;
        tally.busy += busy;
        tally.held += passed * holds;
        countedTo = now;
    }

    private double perCore(long now) {
        double warm = 1;
        if (now < warmAt) {
            warm =
                    kind.coldFrom()
                            + (1 - kind.coldFrom())
                                    * (now - startedAt)
                                    / (double) (warmAt - startedAt);
        }
        double crowd = Math.max(0, (double) holds / kind.cores() - kind.thrashAt());
        double table = Math.min(1, connections / (drawn.connections() * kind.cores()));
        return machine.speed()
                * warm
                / slow
                / (choke == null ? 1 : choke.slower())
                / (1 + kind.thrash() * crowd)
                * (1 - drawn.fullTax() * table);
    }

    /** Works out what it does from now on, and when the next part of work is done. */
    void settle() {
        long now = run.agenda.now();
        double core = perCore(now);
        capacity = core * kind.cores();
        perRequest = actives == 0 ? 0 : core * Math.min(1, (double) kind.cores() / actives);
        if (choke != null) {
            choke.look();
        }
        if (actives == 0) {
            run.agenda.cancel(completion);
            return;
        }
        double next = active[0].finish;
        for (int i = 1; i < actives; i++) {
            next = Math.min(next, active[i].finish);
        }
        double wait = Math.max(0, next - progress) / perRequest + urgent / capacity;
        run.agenda.at(now + (long) Math.ceil(wait), completion);
    }

    private void complete() {
        for (int i = actives - 1; i >= 0; i--) {
            if (active[i].finish <= progress + ROUNDING) {
                Job done = active[i];
                rest(done);
                done.spent += done.partOfWork;
                tally.work += done.partOfWork;
                step(done);
            }
        }
    }

    // ---- requests ----

    /** A request has come whole. */
    public void arrive(Job job) {
        advance();
        if (run.agenda.now() < warmAt) {
            coldBudget.came(run.agenda.now(), job.work);
            if (coldBudget.spent(capacityNow())) {
                run.faults.fallOver(this);
                job.reset();
                return;
            }
        }
        if (sinkhole > 0) {
            job.answer(Outcome.ERROR);
        } else if (declining > 0 || draining || !hasSpareCapacity()) {
            tally.declined++;
            declinedWork += job.work;
            job.answer(Outcome.REJECTED);
        } else {
            hold(job);
            job.reached();
            if (slotsTaken < kind.slots()) {
                start(job);
            } else {
                job.stage = Job.Stage.QUEUED;
                queue.add(job);
            }
        }
        settle();
    }

    private void hold(Job job) {
        if (holds == held.length) {
            held = Arrays.copyOf(held, 2 * holds);
        }
        job.heldAt = holds;
        held[holds++] = job;
        run.inFlight++;
    }

    private void release(Job job) {
        Job last = held[--holds];
        held[holds] = null;
        held[job.heldAt] = last;
        last.heldAt = job.heldAt;
        job.heldAt = -1;
        job.stage = Job.Stage.NOWHERE;
        run.inFlight--;
    }

    private void start(Job job) {
        slotsTaken++;
        step(job);
    }

    /** Goes on with a request that has a slot: the next part of its work, a call, or its end. */
    private void step(Job job) {
        double part = job.nextPart();
        if (part > ROUNDING && !(job.calls() && job.spent > 0)) {
            job.stage = Job.Stage.WORKING;
            job.partOfWork = part;
            job.finish = progress + part;
            if (actives == active.length) {
                active = Arrays.copyOf(active, 2 * actives);
            }
            job.activeAt = actives;
            active[actives++] = job;
        } else if (job.calls()) {
            job.callBelow();
        } else {
            end(job, job.fails(kind.errorRate()) ? Outcome.ERROR : Outcome.OK);
        }
    }

    /** Takes a request off the cores. */
    private void rest(Job job) {
        Job last = active[--actives];
        active[actives] = null;
        active[job.activeAt] = last;
        last.activeAt = job.activeAt;
        job.activeAt = -1;
    }

    private void end(Job job, Outcome how) {
        release(job);
        if (how == Outcome.OK) {
            tally.served++;
        }
        reports.took(job.spent / perCore(run.agenda.now()));
        job.answer(how);
        freeSlot();
    }

    /** Gives the slot to the next request that waits for one. */
    private void freeSlot() {
        slotsTaken--;
        while (slotsTaken < kind.slots() && !queue.isEmpty()) {
            Job next = queue.poll();
            if (kind.dropsExpired() && run.agenda.now() >= next.deadline()) {
                release(next);
                tally.declined++;
                next.answer(Outcome.REJECTED);
            } else {
                start(next);
            }
        }
    }

    /** The next tier has served a call of a request. */
    void called(Job job) {
        if (job.heldAt >= 0) {
            advance();
            step(job);
            settle();
        }
    }

    /** The next tier has not served a call: the request fails. */
    void calledInVain(Job job) {
        if (job.heldAt >= 0) {
            advance();
            end(job, Outcome.ERROR);
            settle();
        }
    }

    /** Nobody waits for a request any more: it stops, where the kind of machine does that. */
    public void left(Job job) {
        if (!kind.stopsCancelled() || job.heldAt < 0) {
            return;
        }
        advance();
        drop(job);
        settle();
    }

    private void drop(Job job) {
        Job.Stage stage = job.stage;
        if (stage == Job.Stage.WORKING) {
            double done = job.partOfWork - Math.max(0, job.finish - progress);
            job.spent += done;
            tally.work += done;
            rest(job);
        }
        release(job);
        if (stage == Job.Stage.QUEUED) {
            queue.remove(job);
        } else {
            job.dropBelow();
            freeSlot();
        }
    }

    // ---- probes ----

    /** Who has sent a probe. */
    public interface Probed {

        /** The node answers; {@code report} is null where it doesn't say. */
        void answered(Outcome how, LoadReport report);
    }

    /** A probe has come: answered beside the queue, as far as it answers this many. */
    public void probe(Probed probe) {
        advance();
        long now = run.agenda.now();
        double max = drawn.probesPerSecond() * kind.cores();
        probesSaved = Math.min(Math.max(1, max), probesSaved + max * (now - probesAt) / 1e9);
        probesAt = now;
        if (probesSaved < 1) {
            probe.answered(Outcome.ERROR, null);
        } else {
            probesSaved--;
            urgent += drawn.probeWork();
            tally.overhead += drawn.probeWork();
            settle();
            probe.answered(Outcome.OK, reports.sent(now));
        }
    }

    // ---- what happens to it ----

    /** The first machine of a run: warm since long ago. */
    void begin(long id) {
        endpoint = id;
        startedAt = 0;
        warmAt = 0;
        state = State.UP;
        tally = run.ledger.node(this);
    }

    /** A cold machine starts here; {@code id}: under which lists will name it. */
    void start(long id) {
        advance();
        if (id != endpoint) {
            endpoint = id;
            tally = run.ledger.node(this);
            if (proxy != null) {
                proxy.forget();
            }
        }
        state = State.UP;
        draining = false;
        startedAt = run.agenda.now();
        warmAt = startedAt + kind.coldTime();
        coldBudget.clear(startedAt);
        reports.clear();
        if (choke != null) {
            choke.clear();
        }
        run.trace.nodeStarted(startedAt, endpoint, warmCapacity(), kind.coldFrom(), warmAt);
        settle();
        run.agenda.at(startedAt + WARMING_STEP, warming);
        run.changed(this);
        if (proxy != null) {
            proxy.start(() -> {});
        }
    }

    /** The machine ends, and its proxy with it. A process that dies resets its connections. */
    void end(boolean silently) {
        advance();
        if (state != State.UP) {
            return;
        }
        state = silently ? State.VANISHED : State.DOWN;
        endedAt = run.agenda.now();
        endedSilently = silently;
        if (proxy != null) {
            proxy.die();
        }
        incarnation++;
        connections = 0;
        for (int i = 0; i < actives; i++) {
            Job job = active[i];
            tally.work += job.partOfWork - Math.max(0, job.finish - progress);
            active[i] = null;
        }
        actives = 0;
        int had = holds;
        holds = 0;
        run.inFlight -= had;
        slotsTaken = 0;
        urgent = 0;
        queue.clear();
        for (int i = 0; i < had; i++) {
            Job job = held[i];
            held[i] = null;
            job.heldAt = -1;
            job.activeAt = -1;
            job.stage = Job.Stage.NOWHERE;
            job.forgetBelow();
            if (!silently) {
                job.reset();
            }
        }
        declinedWork = 0;
        run.agenda.cancel(completion);
        run.agenda.cancel(warming);
        if (choke != null) {
            choke.clear();
        }
        run.trace.nodeEnded(endedAt, endpoint);
        run.changed(this);
    }

    /** From now on it does less, by a factor; undone by {@link #quicker}. */
    void slower(double factor) {
        advance();
        slow *= factor;
        slows++;
        settle();
    }

    void quicker(double factor) {
        advance();
        slow = --slows == 0 ? 1 : slow / factor;
        settle();
    }

    /** Whether its reports stay as they are. */
    boolean reportsFrozen() {
        return frozen > 0;
    }
}
