package cedarrudder.simulator;

/** Thrown for input that violates the wire format; the message states what is wrong and where. */
final class SimulatorWireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorWireException(String message) {
        super(message, null, false, false);
    }
}
