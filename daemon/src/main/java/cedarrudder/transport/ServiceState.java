package cedarrudder.transport;

/**
 * Whether the proxy serves, as one table of states and events. Two things make a state: how far the
 * process is from its end, and whether operators have drained the proxy, which outlives the
 * process.
 *
 * @param drained whether operators send clients away
 */
record ServiceState(Life life, boolean drained) {

    /** How far the process is from its end. */
    enum Life {
        SERVING,
        /**
         * SIGTERM came and nobody takes over: what is taken is answered, then clients are left
         * alone.
         */
        ENDING,
        /** SIGTERM came and a successor serves at the same address. */
        REPLACED
    }

    /** What changes it. */
    enum Event {
        DRAIN,
        RESUME,
        END,
        REPLACE
    }

    static final ServiceState FIRST = new ServiceState(Life.SERVING, false);

    /** The state after an event. The first SIGTERM decides how the process ends. */
    ServiceState on(Event event) {
        return switch (event) {
            case DRAIN -> new ServiceState(life, true);
            case RESUME -> new ServiceState(life, false);
            case END -> new ServiceState(life == Life.SERVING ? Life.ENDING : life, drained);
            case REPLACE -> new ServiceState(life == Life.SERVING ? Life.REPLACED : life, drained);
        };
    }

    /**
     * Whether clients at this address are welcome: a successor's process takes those who come now.
     */
    boolean isHealthy() {
        return life != Life.ENDING && !drained;
    }

    /** Whether this process goes on. */
    boolean isServing() {
        return life == Life.SERVING;
    }
}
