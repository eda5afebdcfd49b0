package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.forwarding.RequestAttempt;

/** One attempt at a request on its way to a node and back. */
final class Attempt extends ProxyConnection {

    final ProxyRequest call;
    final RequestAttempt<ProxyRequest, Attempt> handle;
    final AtNode job;

    /** Its place among the proxy's attempts that are out. */
    int outAt;

    private Outcome result = Outcome.TIMEOUT;

    Attempt(
            Run run,
            ProxyInstance proxy,
            Channel channel,
            ProxyRequest call,
            RequestAttempt<ProxyRequest, Attempt> handle) {
        super(run, proxy, channel);
        this.call = call;
        this.handle = handle;
        this.job = new AtNode();
    }

    @Override
    boolean begins() {
        return proxy.begins(this);
    }

    @Override
    void ended(Ending how) {
        proxy.settled(this, how == Ending.NO_CONNECTION ? Outcome.CONNECT_FAILED : result);
    }

    @Override
    boolean broke() {
        return result == Outcome.RESET;
    }

    @Override
    void reset() {
        result = Outcome.RESET;
        answer();
    }

    @Override
    void reached() {
        node.arrive(job);
    }

    @Override
    void leftAtNode() {
        node.left(job);
    }

    /** What the node holds of it. */
    final class AtNode extends Job {

        private AtNode() {
            super(Attempt.this.node, call.what, handle.number());
        }

        @Override
        protected long deadline() {
            return call.deadline;
        }

        @Override
        protected void reached() {
            run.trace.reached(
                    run.agenda.now(), proxy.proxy.number, call.id, handle.number(), node.endpoint);
        }

        @Override
        protected void answer(Outcome outcome) {
            result = outcome;
            Attempt.this.answer();
        }

        @Override
        protected void reset() {
            Attempt.this.reset();
        }

        @Override
        protected cedarrudder.budget.PropagatedBudget goesDown() {
            if (proxy.stripped) {
                return cedarrudder.budget.PropagatedBudget.NOTHING;
            }
            return handle.propagatedBudget() == null
                    ? call.what.reported()
                    : handle.propagatedBudget().after(writtenAt - handle.startedAt());
        }

        @Override
        protected DownstreamFeedback goesUp() {
            return proxy.stripped ? DownstreamFeedback.NOTHING : super.goesUp();
        }
    }
}
