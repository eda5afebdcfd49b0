package cedarrudder.lab.model;

/**
 * Whether a node has choked: one with far too many requests waiting, for long, turns slower and
 * stays so until it has been mostly idle, or until some time has passed.
 */
final class ChokeWatch {

    /** How often within the time of rest a choked node is looked at. */
    private static final int LOOKS = 8;

    private final Node node;
    private final World.Choking figures;
    private long overSince = -1;
    private boolean choked;
    private long chokedAt;
    private double before;
    private final double[] heldBefore = new double[LOOKS];
    private int looks;

    private final Task timer =
            new Task() {
                @Override
                protected void run() {
                    node.advance();
                    if (choked) {
                        lookAtRest();
                    } else if (over()) {
                        choke();
                    } else {
                        overSince = -1;
                    }
                    node.settle();
                }
            };

    ChokeWatch(Node node, World.Choking figures) {
        this.node = node;
        this.figures = figures;
    }

    /** The factor by which it is slower. */
    double slower() {
        return choked ? figures.slower() : 1;
    }

    /** Looks at what waits; to be called whenever that may have changed. */
    void look() {
        if (choked) {
            return;
        }
        boolean over = over();
        if (over && overSince < 0) {
            overSince = node.run.agenda.now();
            node.run.agenda.at(overSince + figures.over(), timer);
        } else if (!over && overSince >= 0) {
            overSince = -1;
            node.run.agenda.cancel(timer);
        }
    }

    private boolean over() {
        return node.waiting() > figures.at() * node.kind.cores();
    }

    private void choke() {
        choked = true;
        chokedAt = node.run.agenda.now();
        overSince = -1;
        looks = 0;
        node.tally.chokes++;
        node.run.agenda.at(chokedAt + figures.rest() / LOOKS, timer);
        heldBefore[0] = node.tally.held;
    }

    /** Mostly idle: the mean of what it held over the time of rest is low. */
    private void lookAtRest() {
        long now = node.run.agenda.now();
        looks++;
        int slot = looks % LOOKS;
        before = heldBefore[slot];
        heldBefore[slot] = node.tally.held;
        boolean rested =
                looks >= LOOKS
                        && (node.tally.held - before) / figures.rest()
                                < figures.below() * node.kind.cores();
        if (rested || now >= chokedAt + figures.max()) {
            clear();
        } else {
            node.run.agenda.at(
                    Math.min(chokedAt + figures.max(), now + figures.rest() / LOOKS), timer);
        }
    }

    /** It is as if nothing had been: it has recovered, or a new machine stands there. */
    void clear() {
        choked = false;
        overSince = -1;
        node.forgetDeclined();
        node.run.agenda.cancel(timer);
    }
}
