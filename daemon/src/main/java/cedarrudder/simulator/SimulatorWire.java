package cedarrudder.simulator;

/**
 * The codes and sizes of the simulator's wire format, under the names that the format gives them.
 */
final class SimulatorWire {
    static final int BATCH_HEADER = 16;
    static final int REPLY_HEADER = 8;
    static final int EVENT = 48;
    static final int ACTION = 24;
    static final int ENDPOINT = 23;

    static final int NEW_INSTANCE = 0;
    static final int VIEW = 1;
    static final int KNOCK = 2;
    static final int FIRST_BYTE = 3;
    static final int OUTCOME = 4;
    static final int CLIENT_LEFT = 5;
    static final int BELL = 6;
    static final int STATUS_BACK = 7;
    static final int WHISPER = 8;
    static final int KILL = 9;
    static final int INVENTORY = 10;
    static final int TO = 11;

    static final int VIEW_FULL = 0;
    static final int VIEW_DELTA = 1;
    static final int VIEW_CACHED = 2;
    static final int VIEW_FAILED = 3;

    static final int BIT_HINT = 1;
    static final int BIT_REPEAT = 2;
    static final int BIT_WRITE = 4;

    static final int CALL_OUT = 0;
    static final int TURN_AWAY = 1;
    static final int FINISH_ERROR = 2;
    static final int UNDO_SEND = 3;
    static final int SCHEDULE = 4;
    static final int POLL = 5;
    static final int FREE_LINKS = 6;
    static final int PUBLISH = 7;
    static final int EMIT = 8;
    static final int BUG = 9;
    static final int SUBSCRIBE = 10;
    static final int FETCH = 11;
    static final int AS = 12;

    private SimulatorWire() {}
}
