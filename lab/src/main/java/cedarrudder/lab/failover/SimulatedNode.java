package cedarrudder.lab.failover;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A node: slots, a queue, a speed; while it is cold it can do less, and sent far more than that it
 * falls over.
 */
final class SimulatedNode {

    static final int SLOTS = 4;
    static final long SERVICE = 50 * Site.MILLI;

    /** Requests a second of a warm one. */
    static final double RATE = SLOTS * 1e9 / SERVICE;

    static final double COLD_SHARE = 0.2;
    static final long RAMP = 10 * Site.SECOND;
    static final double FALL_MULTIPLE = 2;
    static final long FALL_WINDOW = Site.SECOND;

    private static final int QUEUE = 16;

    /** What it reports of its load is the mean of so long, until the next. */
    private static final long LOAD_PERIOD = 500 * Site.MILLI;

    private static final double NOISE = 0.05;

    /** As the settings of the platform allow beside the multiple. */
    private static final double CAPACITY = 3;

    /** An attempt at a node. */
    interface Asked {
        void served(double load);

        void full(double load);
    }

    final int id;
    final int zone;
    boolean up = true;
    boolean draining;
    double speed = 1;

    /** 0: long ago. */
    long startedAt;

    /** One more each time that it dies or starts. */
    int incarnation;

    /** What the list says of it. */
    EndpointStatus listed = EndpointStatus.READY;

    long listedStart;
    int held;

    private final Site site;
    private final RandomGenerator random;
    private final Deque<Asked> waiting = new ArrayDeque<>();
    private final Deque<Long> came = new ArrayDeque<>();
    private final Map<Asked, Boolean> busy = new HashMap<>();
    private double used;
    private long usedAt;
    private double reported;

    SimulatedNode(Site site, int id, int zone, RandomGenerator random) {
        this.site = site;
        this.id = id;
        this.zone = zone;
        this.random = random;
        site.after((long) (random.nextDouble() * LOAD_PERIOD), this::measure);
    }

    private void measure() {
        use();
        reported = Math.max(0, used / LOAD_PERIOD * (1 + NOISE * random.nextGaussian()));
        used = 0;
        site.after(LOAD_PERIOD, this::measure);
    }

    /** What it can do now, of what a warm one can. */
    double able() {
        return up ? speed * ramp(startedAt) : 0;
    }

    private double ramp(long since) {
        return since == 0 || site.now() - since >= RAMP
                ? 1
                : COLD_SHARE + (1 - COLD_SHARE) * (site.now() - since) / RAMP;
    }

    /** What a replica reckons with, which knows its start from the list. */
    double listedAble() {
        return ramp(listedStart);
    }

    boolean cold() {
        return ramp(startedAt) < 1;
    }

    Endpoint endpoint() {
        return new Endpoint(id, zone, 0, 0, listed, 1, listedStart);
    }

    private void use() {
        used += (double) (site.now() - usedAt) * busy.size() / SLOTS;
        usedAt = site.now();
    }

    /** A request arrives; none of a node that is down is answered. */
    void arrives(Asked asked) {
        if (!up || overwhelmed()) {
            return;
        }
        if (busy.size() < SLOTS) {
            begin(asked);
        } else if (waiting.size() < QUEUE && !draining) {
            waiting.add(asked);
            held++;
        } else {
            asked.full(reported);
        }
    }

    private boolean overwhelmed() {
        came.add(site.now());
        while (came.peek() < site.now() - FALL_WINDOW) {
            came.remove();
        }
        double max = FALL_MULTIPLE * able() * RATE * FALL_WINDOW / 1e9;
        if (!cold() || came.size() <= max + CAPACITY * StrictMath.sqrt(max) + CAPACITY) {
            return false;
        }
        site.fell(this);
        return true;
    }

    private void begin(Asked asked) {
        use();
        busy.put(asked, true);
        held++;
        int of = incarnation;
        double time = -StrictMath.log(1 - random.nextDouble()) * SERVICE / able();
        site.after(
                (long) Math.min(time, 60e9) + 1,
                () -> {
                    if (of == incarnation) {
                        use();
                        busy.remove(asked);
                        held--;
                        asked.served(reported);
                        if (!waiting.isEmpty()) {
                            held--;
                            begin(waiting.remove());
                        }
                    }
                });
    }

    /** It is gone with all that it held. */
    void dies() {
        use();
        up = false;
        incarnation++;
        busy.clear();
        waiting.clear();
        came.clear();
        held = 0;
    }

    /** It starts anew, cold. */
    void starts() {
        dies();
        up = true;
        startedAt = site.now();
    }
}
