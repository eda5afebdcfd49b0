package cedarrudder.transport;

/**
 * Whether the proxy serves, as one table of states and events. Two things make a state: how far the
 * process is from its end, and whether operators have drained the proxy, which outlives the
 * process.
 *
 * @param drained whether operators send clients away
 */
record ServiceState(Phase phase, boolean drained) {

    /** How far the process is from its end. */
    enum Phase {
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

    static final ServiceState INITIAL = new ServiceState(Phase.SERVING, false);

    /** The state after an event. The first SIGTERM decides how the process ends. */
    ServiceState after(Event event) {
        return switch (event) {
            case DRAIN -> new ServiceState(phase, true);
            case RESUME -> new ServiceState(phase, false);
            case END -> new ServiceState(phase == Phase.SERVING ? Phase.ENDING : phase, drained);
            case REPLACE ->
                    new ServiceState(phase == Phase.SERVING ? Phase.REPLACED : phase, drained);
        };
    }

    /**
     * Whether clients at this address are welcome: a successor's process takes those who come now.
     */
    boolean isHealthy() {
        return phase != Phase.ENDING && !drained;
    }

    /** Whether this process goes on. */
    boolean isServing() {
        return phase == Phase.SERVING;
    }
}
