package cedarrudder.logging;

/** The importance of an event to an operator, in ascending order. */
public enum Level {
    /** Details that help to find a fault; any number of them may occur. */
    DEBUG,
    /** A rare event of the program itself, such as its start. */
    INFO,
    /**
     * A fault outside the program, such as a peer that sends invalid data; any number of them may
     * occur.
     */
    WARN,
    /** A fault of the program itself; any number of them may occur. */
    ERROR
}
