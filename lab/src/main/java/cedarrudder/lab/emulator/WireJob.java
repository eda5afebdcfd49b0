package cedarrudder.lab.emulator;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.model.Job;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Run;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An attempt that has come to a node on a socket. */
final class WireJob extends Job {

    private static final int FILL = 160;

    private final Emulation emulation;
    private final Run run;
    private final Node node;
    private final WireRequest of;
    private final int number;
    private final EndpointServer.Connection on;
    private final long deadline;
    private final long endpoint;
    private final byte[] body;
    private boolean ended;

    /**
     * @param deadline when the proxy stops waiting, as it said
     */
    WireJob(
            Emulation emulation,
            Node node,
            WireRequest of,
            int number,
            EndpointServer.Connection on,
            long deadline) {
        super(node, of.what(), number);
        this.emulation = emulation;
        this.run = emulation.run();
        this.node = node;
        this.of = of;
        this.number = number;
        this.on = on;
        this.deadline = deadline;
        this.endpoint = node.endpoint;
        this.body =
                (of.id() + " " + number + " " + "z".repeat(FILL))
                        .getBytes(StandardCharsets.ISO_8859_1);
    }

    int number() {
        return number;
    }

    /** What it answers if all goes well. */
    byte[] body() {
        return body;
    }

    /** Whether an answer is the one that it made. */
    boolean made(byte[] answer) {
        return Arrays.equals(answer, body);
    }

    /** The node has read it; whoever judges knows it as sent. */
    void sent() {
        run.ledger.tiers[node.tier].attempts++;
        run.ledger.tiers[node.tier].replicas += of.out > 0 ? 1 : 0;
        run.ledger.attempt(emulation.now(), node.tier);
        of.out++;
        run.trace.sent(emulation.now(), of.proxy().number, of.request(), number, endpoint, work);
    }

    /** It is over for the proxy; the first end counts. */
    void ended(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        of.out--;
        run.ledger.tiers[node.tier].outcomes[outcome.ordinal()]++;
        run.trace.ended(emulation.now(), of.proxy().number, of.request(), number, outcome);
    }

    @Override
    protected long deadline() {
        return deadline;
    }

    @Override
    protected void reached() {
        run.trace.reached(emulation.now(), of.proxy().number, of.request(), number, endpoint);
    }

    @Override
    protected void answer(Outcome outcome) {
        on.answer(this, outcome);
    }

    @Override
    protected void reset() {
        on.reset();
    }
}
