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
     * Nothing passes between these replicas and others; of whole zones, nor between their nodes and
     * others.
     */
    CUT,
    /** Nothing that these replicas send arrives. */
    MUTE,
    /** Nothing that is sent to these replicas arrives. */
    DEAFEN,
    /** All ways are whole again. */
    HEAL,
    /** The weather is this from now on. */
    WEATHER,
    /** Forged datagrams at full speed. */
    FLOOD,
    /** Nodes do so from now on, to all replicas or to these. */
    NODES,
    /** An operator asks these replicas something. */
    CALL,
    /**
     * Operators have nodes leave by drains, asked of these replicas in turn, and take each off the
     * list.
     */
    REMOVE,
    /**
     * The same by hand: each node is disabled at one replica after another, and taken off the list.
     */
    REMOVE_BY_HAND
}
