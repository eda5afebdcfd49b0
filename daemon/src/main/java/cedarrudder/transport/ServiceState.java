package cedarrudder.transport;

/**
 * The state that determines whether the proxy serves, with its transitions. A state consists of the
 * phase of the process, and whether operators have drained the proxy; the latter is persisted
 * beyond the process.
 *
 * @param drained whether operators have drained the proxy
 */
record ServiceState(Phase phase, boolean drained) {

    /** The phases of the process. */
    enum Phase {
        SERVING,
        /**
         * SIGTERM was received and there is no successor: accepted requests are answered, then
         * clients are disconnected.
         */
        ENDING,
        /** SIGTERM was received and a successor serves at the same address. */
        REPLACED
    }

    /** The events that change the state. */
    enum Event {
        DRAIN,
        RESUME,
        END,
        REPLACE
    }

    static final ServiceState INITIAL = new ServiceState(Phase.SERVING, false);

    /** Returns the state after an event. The first SIGTERM decides how the process ends. */
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
     * Returns whether new clients at this address are accepted; during a handover, the successor
     * accepts them.
     */
    boolean isHealthy() {
        return phase != Phase.ENDING && !drained;
    }

    /** Returns whether no signal to end has been received. */
    boolean isServing() {
        return phase == Phase.SERVING;
    }
}
