package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.lab.scenario.Scenario;

/**
 * What one client wants: its first try and the repeats that belong to it. In the agenda it waits
 * for the end of a try's time, or of the time between two tries.
 */
final class ClientRequest extends Task implements Caller {

    /** A wait between tries is spread evenly over this much below and above its length. */
    private static final double BACKOFF_SPREAD = 0.5;

    /** How the last try ended. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    private final Run run;
    final int classIndex;
    final int tenant;
    final double work;
    final long startedAt;

    /** Worth of an answer within its aim, were its tenant within its share. */
    final double weight;

    /** Whether its tenant had asked for more than its share in this second already. */
    boolean pastShare;

    private final Scenario.RequestKind kind;
    private final long hint;
    private final long seed;
    private final long deadline;
    private final boolean honours;
    private Proxy.Pending out;
    private int tries;

    ClientRequest(
            Run run, int classIndex, int tenant, double work, long hint, double weight, long seed) {
        this.run = run;
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.work = work;
        this.hint = hint;
        this.weight = weight;
        this.seed = seed;
        this.startedAt = run.agenda.now();
        this.kind = run.scenario.classes().get(classIndex);
        this.deadline = startedAt + kind.deadline();
        this.honours = HashRandom.unit(HashRandom.of(seed, -1)) < run.world.honour;
    }

    /** Whether its client repeats it by itself after a try that may have run. */
    private boolean repeatable() {
        return kind.effect() == Idempotency.SAFE
                || kind.effect() == Idempotency.KEYED
                        && kind.keyScope() == KeyScope.ALL
                        && run.agenda.now() < startedAt + kind.repeatWindow();
    }

    void tryNow() {
        long now = run.agenda.now();
        long left = deadline - now;
        // Only who may try again gives a try up early.
        long wait =
                repeatable() ? Math.min(left, (long) (run.world.tryShare * kind.deadline())) : left;
        long trySeed = HashRandom.of(seed, tries++);
        run.agenda.at(now + wait, this);
        Proxy to = run.front.pick(HashRandom.of(trySeed, -3), HashRandom.of(seed, -4));
        if (to == null) {
            again(End.FAILED, true, 0);
            return;
        }
        out =
                to.take(
                        this,
                        new ClientAttempt(
                                classIndex,
                                tenant,
                                work,
                                hint,
                                kind.effect() == Idempotency.KEYED ? seed | 1 : 0,
                                tries > 1 && run.scenario.clients().marksRepeats(),
                                trySeed,
                                now + wait,
                                PropagatedBudget.NOTHING,
                                false));
    }

    @Override
    protected void run() {
        if (out != null) {
            out.leave();
            out = null;
            again(End.UNANSWERED, repeatable(), 0);
        } else {
            tryNow();
        }
    }

    @Override
    public void answered(Caller.End how, long retryAfter, Job servedBy) {
        out = null;
        switch (how) {
            case SERVED -> {
                run.agenda.cancel(this);
                run.ledger.useful(servedBy);
                run.ledger.ended(this, End.SERVED);
            }
            case REFUSED -> again(End.REFUSED, true, retryAfter);
            case UNREACHABLE -> again(End.FAILED, true, 0);
            default -> again(End.FAILED, repeatable(), 0);
        }
    }

    /** Tries again after a while, if it may and there is time; else that was its end. */
    private void again(End how, boolean may, long retryAfter) {
        run.agenda.cancel(this);
        if (may && tries <= run.world.retries) {
            double wait =
                    run.world.backoff
                            * (run.scenario.clients().exponential() ? 1L << tries - 1 : 1);
            wait *=
                    1
                            + BACKOFF_SPREAD
                                    * (2 * HashRandom.unit(HashRandom.of(seed, -10 - tries)) - 1);
            if (honours) {
                wait = Math.max(wait, Math.min(retryAfter, run.scenario.clients().maxRetryAfter()));
            }
            long at = run.agenda.now() + (long) wait;
            if (at < deadline) {
                run.agenda.at(at, this);
                return;
            }
        }
        run.ledger.ended(this, how);
    }
}
