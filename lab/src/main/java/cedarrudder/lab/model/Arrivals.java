package cedarrudder.lab.model;

import cedarrudder.lab.scenario.Scenario;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * First tries as they come, drawn from a source of their own: they follow from scenario and seed,
 * whatever becomes of them.
 */
final class Arrivals extends Task {

    private final Run run;
    private final RandomGenerator random;
    private final Scenario.Arrivals figures;
    private final double max;
    private long count;
    private int line;
    private long phaseUntil;
    private boolean high;

    Arrivals(Run run) {
        this.run = run;
        this.random = run.streams.of(Streams.Concern.ARRIVALS, 0);
        this.figures = run.scenario.arrivals();
        this.max =
                switch (figures.shape()) {
                    case BURSTY -> run.world.perSecond * (1 + run.world.swing);
                    case PAYDAY -> run.world.perSecond * Math.max(1, run.world.peak);
                    default -> run.world.perSecond;
                };
        this.phaseUntil = run.start;
    }

    /** Schedules the next arrival after an instant. */
    void next(long after) {
        if (count >= run.scenario.run().mostRequests()) {
            return;
        }
        if (figures.shape() == Scenario.Shape.TRACE) {
            List<Scenario.Recorded> trace = figures.trace();
            if (line < trace.size() && trace.get(line).at() <= run.world.length) {
                run.agenda.at(run.start + trace.get(line).at(), this);
            }
            return;
        }
        if (max <= 0) {
            return;
        }
        // A Poisson process of changing rate, by thinning (Lewis and Shedler 1979).
        double at = after;
        do {
            at += -StrictMath.log(1 - random.nextDouble()) / max * 1e9;
        } while (at <= run.start + run.world.length
                && random.nextDouble() * max >= rate((long) at));
        if (at <= run.start + run.world.length) {
            run.agenda.at((long) at, this);
        }
    }

    /** First tries a second at an instant; instants don't go back. */
    private double rate(long at) {
        World world = run.world;
        switch (figures.shape()) {
            case BURSTY -> {
                while (at >= phaseUntil) {
                    high = !high;
                    double mean = Math.max(1e6, world.burst);
                    phaseUntil += (long) (-StrictMath.log(1 - random.nextDouble()) * mean);
                }
                return world.perSecond * (high ? 1 + world.swing : 1 - world.swing);
            }
            case PAYDAY -> {
                double since = at - run.start - world.riseAt;
                double rise = Math.max(1, world.rise);
                double up = Math.min(1, Math.max(0, since / rise));
                double down = Math.min(1, Math.max(0, (since - rise - world.hold) / rise));
                return world.perSecond * (1 + (world.peak - 1) * (up - down));
            }
            default -> {
                return world.perSecond;
            }
        }
    }

    @Override
    protected void run() {
        long now = run.agenda.now();
        count++;
        int classIndex;
        int tenant;
        double work = 0;
        if (figures.shape() == Scenario.Shape.TRACE) {
            Scenario.Recorded recorded = figures.trace().get(line++);
            classIndex = recorded.classIndex();
            tenant = recorded.tenant();
            work = recorded.work();
        } else {
            classIndex = among(run.world.classes.size(), i -> run.world.classes.get(i).share());
            tenant = among(run.world.traffic.length, i -> run.world.traffic[i]);
        }
        long seed = random.nextLong();
        work = work > 0 ? work : run.world.classes.get(classIndex).drawn(HashRandom.of(seed, -5));
        double noise = random.nextGaussian();
        long hint =
                figures.hintNoise() < 0
                        ? 0
                        : Math.max(1, (long) (work * StrictMath.exp(figures.hintNoise() * noise)));
        Scenario.RequestKind kind = run.scenario.classes().get(classIndex);
        double worth = kind.worth() * work / run.world.classes.get(classIndex).work();
        ClientRequest ask = new ClientRequest(run, classIndex, tenant, work, hint, worth, seed);
        run.ledger.asked(ask);
        ask.tryNow();
        next(now);
    }

    private int among(int count, IntToDoubleFunction weight) {
        double draw = random.nextDouble();
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += weight.applyAsDouble(i);
        }
        double left = draw * sum;
        for (int i = 0; i < count - 1; i++) {
            left -= weight.applyAsDouble(i);
            if (left < 0) {
                return i;
            }
        }
        return Math.max(0, count - 1);
    }
}
