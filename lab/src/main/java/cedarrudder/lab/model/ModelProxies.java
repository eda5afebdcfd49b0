package cedarrudder.lab.model;

import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import cedarrudder.logging.Logger;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** The modelled proxies of a run, with the policy that decides in all of them. */
final class ModelProxies implements Run.Cast {

    final Policy policy;
    final Guard guard;
    final Logger log = new Logger(new PrintStream(OutputStream.nullOutputStream()));
    private final List<List<ModelProxy>> proxies = new ArrayList<>();
    private GroundTruth[] truths;
    private RandomGenerator peerRandom;

    ModelProxies(Policy policy, Guard guard) {
        this.policy = policy;
        this.guard = guard;
    }

    @Override
    public Proxy proxy(Run run, int number, int tier, int self, int zone) {
        if (truths == null) {
            truths = new GroundTruth[run.world.tiers.size()];
            for (int i = 0; i < truths.length; i++) {
                truths[i] = new TierTruth(run.nodesOf(i));
                proxies.add(new ArrayList<>());
            }
            peerRandom = run.streams.of(Streams.Concern.PEERS, 0);
        }
        ModelProxy proxy = new ModelProxy(this, run, number, tier, self, zone);
        proxies.get(tier).add(proxy);
        return proxy;
    }

    @Override
    public void changed(Node node) {
        // Messages ask the node themselves what has become of it.
    }

    GroundTruth truth(int tier) {
        return truths[tier];
    }

    RandomGenerator peerRandom() {
        return peerRandom;
    }

    List<ModelProxy> to(int tier) {
        return Collections.unmodifiableList(proxies.get(tier));
    }
}
