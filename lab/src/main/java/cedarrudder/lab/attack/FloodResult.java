package cedarrudder.lab.attack;

/**
 * What good clients got while a flood ran.
 *
 * @param kept those that keep their connections
 * @param fresh those that open one for each request
 * @param opened connections of the flood that came up
 * @param unopened those that the flood was due to open and couldn't
 * @param maxOpen the most of the daemon's descriptors that were in use; -1: can't be seen
 * @param maxMemory the most of its resident memory, in KiB; -1: can't be seen
 */
public record FloodResult(
        FloodKind kind,
        Served kept,
        Served fresh,
        int opened,
        int unopened,
        int maxOpen,
        long maxMemory) {

    /**
     * Requests and how they went.
     *
     * @param asked requests that were due
     * @param served those answered 200 in time
     * @param p50 of those served, in milliseconds from when each was due
     * @param p99 likewise
     */
    public record Served(long asked, long served, double p50, double p99) {

        /** The part that was served. */
        public double share() {
            return asked == 0 ? 0 : (double) served / asked;
        }
    }
}
