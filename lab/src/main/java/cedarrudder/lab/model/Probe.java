package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;

/** One probe on its way. */
final class Probe extends ProxyConnection implements Node.Probed {

    private final long startedAt;
    private Outcome result = Outcome.TIMEOUT;
    private LoadReport load;

    private final Task patience =
            new Task() {
                @Override
                protected void run() {
                    if (!over && proxy.alive) {
                        giveUp();
                        proxy.probed(Probe.this, Outcome.TIMEOUT, null);
                    }
                }
            };

    Probe(Run run, ProxyInstance proxy, Channel channel) {
        super(run, proxy, channel);
        this.startedAt = run.agenda.now();
        run.agenda.at(startedAt + node.drawn.probeTimeout(), patience);
    }

    long took() {
        return run.agenda.now() - startedAt;
    }

    @Override
    boolean begins() {
        return !over;
    }

    @Override
    void ended(Ending how) {
        run.agenda.cancel(patience);
        proxy.probed(this, how == Ending.NO_CONNECTION ? Outcome.CONNECT_FAILED : result, load);
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
        if (!proxy.alive) {
            node.connections--; // nobody is there to close it
        } else {
            node.probe(this);
        }
    }

    @Override
    public void answered(Outcome how, LoadReport report) {
        result = how;
        load = report;
        answer();
    }

    @Override
    void leftAtNode() {
        // A probe is answered as it comes: there is nothing to stop.
    }
}
