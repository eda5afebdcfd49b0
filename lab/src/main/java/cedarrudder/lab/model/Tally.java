package cedarrudder.lab.model;

/** What one machine did, from its first start on. */
final class Tally {
    final int tier;
    final long endpoint;
    final String kind;
    final double speed;
    final int cores;
    final long since;
    long until = -1;
    long served;
    long declined;
    int chokes;

    /** Core time in use, in nanoseconds. */
    double busy;

    /** Requests held, times nanoseconds. */
    double held;

    /** Work done for requests, in nanoseconds on a core of speed 1. */
    double work;

    /** Work done for handshakes and probes. */
    double overhead;

    Tally(Node node, long now) {
        this.tier = node.tier;
        this.endpoint = node.endpoint;
        this.kind = node.kind.name();
        this.speed = node.machine.speed();
        this.cores = node.kind.cores();
        this.since = now;
    }
}
