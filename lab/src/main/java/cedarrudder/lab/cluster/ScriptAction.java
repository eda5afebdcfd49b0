package cedarrudder.lab.cluster;

/** What a script's step does. */
public enum ScriptAction {
    /** SIGKILL. */
    KILL,
    /** A new life for each that has none. */
    BACK,
    /** SIGSTOP. */
    STOP,
    /** SIGCONT. */
    GO_ON,
    /** SIGTERM, and nobody takes over. */
    TERM,
    /** SIGHUP. */
    HANG_UP,
    /** A second process beside the first, which is told to end once the second serves. */
    UPGRADE,
    /**
     * The same, but the two have different folders and can't see one another: what must never be
     * done.
     */
    UPGRADE_APART,
    /**
     * Nothing passes between these copies and others; of whole zones, nor between their nodes and
     * others.
     */
    CUT,
    /** Nothing that these copies send arrives. */
    MUTE,
    /** Nothing that is sent to these copies arrives. */
    DEAFEN,
    /** All ways are whole again. */
    HEAL,
    /** The weather is this from now on. */
    WEATHER,
    /** Forged datagrams at full speed. */
    FLOOD,
    /** Nodes do so from now on, to all copies or to these. */
    NODES,
    /** An operator asks these copies something. */
    CALL,
    /**
     * Operators have nodes leave by drains, asked of these copies in turn, and take each off the
     * list.
     */
    REMOVE,
    /**
     * The same by hand: each node is disabled at one copy after another, and taken off the list.
     */
    REMOVE_BY_HAND
}
