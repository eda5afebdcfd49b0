package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.lab.scenario.Scenario;

/**
 * An attempt as the node holds it that it has reached: its work in parts, between which it calls
 * the next tier. How it came there and how its answer goes back is for those to say who extend it.
 */
public abstract class Job implements Caller {

    /** What the node does with it. */
    enum Stage {
        NOWHERE,
        QUEUED,
        WORKING,
        CALLING
    }

    /** The part of a request's own work that is done before it calls the next tier. */
    private static final double BEFORE_CALLS = 0.5;

    private final Node node;
    private final ClientAttempt what;
    private final long seed;

    /** Work at this tier for this attempt, in nanoseconds on a core of speed 1. */
    public final double work;

    Stage stage = Stage.NOWHERE;

    /** Its place among those that the node holds. */
    int heldAt = -1;

    /** Its place among those that the node works on. */
    int activeAt = -1;

    /** The node's progress at which its present part is done. */
    double finish;

    /** The part of its work that it is at. */
    double partOfWork;

    /** Of its work, what has been done in parts that are over. */
    double spent;

    private boolean begun;
    private int callsLeft;
    private int callsMade;
    private Proxy.Pending below;

    /** What the answer that it got last from the next tier says of budgets. */
    private DownstreamFeedback fromBelow = DownstreamFeedback.NOTHING;

    /** Work that went into answers of the tiers below that it was built on; null: none. */
    private double[] belowSpent;

    /**
     * An attempt for a node.
     *
     * @param number its number among the attempts of its request
     */
    protected Job(Node node, ClientAttempt what, int number) {
        this.node = node;
        this.what = what;
        this.seed = HashRandom.of(what.seed(), number);
        World.Tier tier = node.drawn;
        double noise = node.run.world.classes.get(what.classIndex()).attemptNoise();
        // A lognormal factor of mean 1.
        double factor =
                noise > 0 ? StrictMath.exp(noise * HashRandom.normal(seed) - noise * noise / 2) : 1;
        this.work = what.work() * tier.workShare() * factor;
        double calls = tier.calls();
        int whole = (int) calls;
        // From the request, not the attempt: a repeat calls as often as the first.
        this.callsLeft =
                whole + (HashRandom.unit(HashRandom.of(what.seed(), -1)) < calls - whole ? 1 : 0);
    }

    /** When the proxy has to have answered; work that is still queued then may be declined. */
    protected abstract long deadline();

    /** The node has taken it into its queue, or has begun to work on it. */
    protected abstract void reached();

    /** The node answers it. */
    protected abstract void answer(Outcome outcome);

    /** The node resets its connection. */
    protected abstract void reset();

    /**
     * What it says of budgets to the next tier: a node passes on what came down to it. Nothing by
     * itself.
     */
    protected PropagatedBudget goesDown() {
        return PropagatedBudget.NOTHING;
    }

    /** What its answer says of budgets: what the node was told last. */
    protected DownstreamFeedback goesUp() {
        return fromBelow;
    }

    // ---- its way through the node ----

    /** Its next part of work; 0 where it calls the next tier now or is done. */
    double nextPart() {
        if (!begun) {
            begun = true;
            return callsLeft > 0 ? work * BEFORE_CALLS : work;
        }
        return work - spent;
    }

    /** Whether the next tier has to be called before its next part. */
    boolean calls() {
        return callsLeft > 0;
    }

    /** Calls the next tier, through the node's own proxy. */
    void callBelow() {
        stage = Stage.CALLING;
        Run run = node.run;
        Scenario.RequestKind kind = run.scenario.classes().get(what.classIndex());
        long now = run.agenda.now();
        long wait = node.drawn.passesDeadline() ? deadline() - now : kind.deadline();
        below =
                node.proxy.take(
                        this,
                        ClientAttempt.below(
                                run.world,
                                node.proxy.tier,
                                what,
                                HashRandom.of(what.seed(), callsMade++),
                                now + Math.max(0, wait),
                                goesDown().withClientDeadline(node.drawn.passesDeadline())));
    }

    @Override
    public final void told(DownstreamFeedback below) {
        fromBelow = below;
    }

    @Override
    public final void answered(End how, long retryAfter, Job servedBy) {
        below = null;
        if (how != End.SERVED) {
            node.calledInVain(this);
            return;
        }
        if (belowSpent == null) {
            belowSpent = new double[node.run.world.tiers.size()];
        }
        servedBy.addSpent(belowSpent);
        callsLeft--;
        node.called(this);
    }

    /** Adds the work that its answer took, by tier. */
    void addSpent(double[] sum) {
        sum[node.tier] += spent;
        for (int i = 0; belowSpent != null && i < sum.length; i++) {
            sum[i] += belowSpent[i];
        }
    }

    /** Drops the call that it has out. */
    void dropBelow() {
        if (below != null) {
            below.leave();
            below = null;
        }
    }

    /** The call that it has out has died with the proxy that took it. */
    void forgetBelow() {
        below = null;
    }

    /** Whether the node ends it with an error after its work. */
    boolean fails(double rate) {
        return rate > 0 && HashRandom.unit(HashRandom.of(seed, -2)) < rate;
    }
}
