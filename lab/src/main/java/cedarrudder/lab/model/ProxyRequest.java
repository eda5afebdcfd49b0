package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.forwarding.Exchange;
import cedarrudder.lab.trace.Trace.Final;
import java.util.Arrays;

/** One try of a caller: a request on its way to a proxy, in its hands, or answered. */
final class ProxyRequest extends Task implements Exchange.Reply<Attempt>, Proxy.Pending {

    /**
     * The proxy answers this much before the caller gives up, or a tenth of its wait: the daemon's
     * margin for the way back and for a loop that runs late.
     */
    private static final long MARGIN = 40_000_000L;

    private enum Phase {
        TO_PROXY,
        AT_PROXY,
        TO_CALLER,
        OVER
    }

    final Run run;
    final ModelProxy to;
    final ClientAttempt what;
    private final Caller caller;

    long id;
    ProxyInstance life;

    /** When the proxy has to have answered. */
    long deadline;

    /** Its place among the calls that the proxy has open. */
    int openAt = -1;

    /** Attempts out. */
    int out;

    private Attempt[] attempts = new Attempt[1];
    private Attempt servedBy;

    /** What its answer says of budgets; null where it says nothing. */
    private DownstreamFeedback goesUp;

    private Exchange<ProxyRequest, Attempt> exchange;
    private Phase phase = Phase.TO_PROXY;
    private Caller.End end;
    private long retryAfter;
    private boolean left;

    ProxyRequest(Run run, Caller caller, ModelProxy to, ClientAttempt what) {
        this.run = run;
        this.caller = caller;
        this.to = to;
        this.what = what;
    }

    // ---- on its way ----

    /** To the proxy beside the caller it gets at once, but after the event at hand. */
    void send() {
        run.agenda.at(run.agenda.now() + (what.local() ? 0 : run.network.clients()), this);
    }

    @Override
    protected void run() {
        if (phase == Phase.TO_PROXY) {
            arrive();
        } else if (phase == Phase.TO_CALLER) {
            phase = Phase.OVER;
            if (goesUp != null) {
                caller.told(goesUp);
            }
            caller.answered(end, retryAfter, servedBy == null ? null : servedBy.job);
        }
    }

    private void arrive() {
        life = to.life;
        if (life == null) {
            tellCaller(Caller.End.UNREACHABLE, 0);
            return;
        }
        long now = run.agenda.now();
        long wait = what.deadline() - now;
        if (wait <= 0) {
            tellCaller(Caller.End.FAILED, 0);
            return;
        }
        phase = Phase.AT_PROXY;
        id = run.nextRequest();
        cedarrudder.budget.PropagatedBudget carried =
                life.budgets == null
                        ? cedarrudder.budget.PropagatedBudget.NOTHING
                        : what.reported();
        if (!carried.hasClientDeadline()) {
            wait = Math.min(wait, life.budgets.defaultDeadline(what.classIndex()));
        }
        deadline = now + wait - Math.min(MARGIN, wait / 10);
        if (carried.remainingNanos() > 0) {
            deadline = Math.min(deadline, now + carried.remainingNanos());
        }
        Request request =
                new Request(
                        id,
                        what.classIndex(),
                        what.tenant(),
                        deadline,
                        what.key(),
                        what.repeat(),
                        what.key() != 0 || run.writes(what.classIndex()),
                        what.hint());
        exchange = new Exchange<>(request, this, this, carried);
        life.accept(this, exchange);
    }

    private void tellCaller(Caller.End how, long advice) {
        if (left) {
            phase = Phase.OVER; // nobody is there to read it
            return;
        }
        phase = Phase.TO_CALLER;
        end = how;
        retryAfter = advice;
        run.agenda.at(run.agenda.now() + (what.local() ? 0 : run.network.clients()), this);
    }

    // ---- the end ----

    @Override
    public void served(Attempt answer) {
        servedBy = answer;
        finish(Final.SERVED, Caller.End.SERVED, 0, answer.handle.number());
    }

    @Override
    public void rejected(long after) {
        finish(Final.REFUSED, Caller.End.REFUSED, after, -1);
    }

    @Override
    public void failed() {
        finish(Final.FAILED, Caller.End.FAILED, 0, -1);
    }

    /** The news that it has gone comes to the proxy's life, which tells the driver then. */
    @Override
    public boolean isClientWaiting() {
        return true;
    }

    private void finish(Final how, Caller.End outcome, long advice, int attempt) {
        if (phase != Phase.AT_PROXY) {
            return;
        }
        // A proxy without budgets passes an answer on with all that it says.
        goesUp =
                life.budgets != null
                        ? exchange.feedback()
                        : servedBy != null ? servedBy.job.goesUp() : null;
        life.closed(this, how);
        run.trace.answered(run.agenda.now(), to.number, id, how, attempt);
        tellCaller(outcome, advice);
    }

    /** The proxy has died. */
    void lost() {
        tellCaller(Caller.End.RESET, 0);
    }

    /** The proxy learns it if it has the call. */
    @Override
    public void leave() {
        if (phase == Phase.AT_PROXY) {
            run.agenda.at(
                    run.agenda.now() + (what.local() ? 0 : run.network.clients()),
                    new Leaving(this));
            left = true;
        } else {
            run.agenda.cancel(this);
            phase = Phase.OVER;
        }
    }

    /** The news that a caller has gone. */
    private static final class Leaving extends Task {
        private final ProxyRequest call;

        Leaving(ProxyRequest call) {
            this.call = call;
        }

        @Override
        protected void run() {
            if (call.phase == Phase.AT_PROXY && call.life.alive) {
                call.phase = Phase.OVER;
                call.life.callerLeft(call, call.exchange);
            }
        }
    }

    // ---- attempts ----

    void sent(Attempt attempt) {
        int number = attempt.handle.number();
        if (number >= attempts.length) {
            attempts = Arrays.copyOf(attempts, Math.max(number + 1, 4));
        }
        attempts[number] = attempt;
        out++;
    }

    Attempt attempt(int number) {
        return number < attempts.length ? attempts[number] : null;
    }
}
