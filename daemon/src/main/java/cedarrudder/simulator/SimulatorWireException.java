package cedarrudder.simulator;

/** Input that is not of the wire; the message says what and where. */
final class SimulatorWireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorWireException(String message) {
        super(message, null, false, false);
    }
}
