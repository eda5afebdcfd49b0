package cedarrudder.lab.load;

import java.util.random.RandomGenerator;

/** The intended times of sending, drawn ahead: they depend on nothing that happens. */
final class Schedule {

    private final Rate rate;
    private final RandomGenerator random;
    private int part;
    private double partStart;
    private double counted;

    /**
     * @param random for the gaps of a Poisson process; null: even gaps
     */
    Schedule(Rate rate, RandomGenerator random) {
        this.rate = rate;
        this.random = random;
    }

    /** The next time, in nanoseconds since the start; -1 where no more are to come. */
    long next() {
        counted += random == null ? 1 : -Math.log(1 - random.nextDouble());
        while (part < rate.parts().size()) {
            Rate.Part now = rate.parts().get(part);
            double whole = now.sent(now.seconds());
            if (counted <= whole) {
                return (long) ((partStart + now.after(counted)) * 1e9);
            }
            counted -= whole;
            partStart += now.seconds();
            part++;
        }
        return -1;
    }
}
