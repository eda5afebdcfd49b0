package cedarrudder.lab.model;

/**
 * Bounds on what a balancer under test may do before its run is ended, so that no fault of one ends
 * an experiment.
 *
 * @param atOnce actions on one event
 * @param free actions of a proxy that cost it nothing
 * @param perSecond further ones for each second of a proxy's life
 * @param perRequest further ones for each request that it takes
 * @param stallSeconds of processor time inside one event: a balancer that needs longer never ends.
 *     Measured on the run's own thread, so that a busy machine doesn't end a sound run
 * @param timed whether the time inside balancers is measured; it costs two readings of the clock an
 *     event
 */
public record Guard(
        int atOnce,
        long free,
        double perSecond,
        double perRequest,
        double stallSeconds,
        boolean timed) {

    /** Bounds that no balancer of use comes near. */
    public static Guard usual() {
        return new Guard(100_000, 20_000, 5_000, 100, 10, false);
    }

    /** The same, with the time inside balancers measured. */
    public Guard measuring() {
        return new Guard(atOnce, free, perSecond, perRequest, stallSeconds, true);
    }
}
