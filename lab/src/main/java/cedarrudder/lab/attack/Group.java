package cedarrudder.lab.attack;

/** What an attack plays on. */
public enum Group {
    /** Bytes that can't become a request, and first lines. */
    START,
    /** Request targets and {@code Host}. */
    TARGET,
    /** Header fields. */
    FIELDS,
    /** Where a body ends: the ways to smuggle a request in another. */
    FRAMING,
    /** {@code Expect}, pipelining, options of a connection, upgrades. */
    CONNECTION,
    /** What makes a request a request. */
    RPC,
    /** What goes on for longer: half requests, slow and endless ones, answers nobody reads. */
    BEHAVIOUR
}
