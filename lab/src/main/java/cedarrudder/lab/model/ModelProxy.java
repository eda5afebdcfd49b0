package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import java.util.ArrayList;
import java.util.List;

/**
 * A modelled proxy: each of its lives is a new {@link ProxyInstance} with the list that the last
 * one had.
 */
final class ModelProxy extends Proxy {

    final ModelProxies all;

    /** Null while it is down. */
    ProxyInstance life;

    private int incarnations;

    /** The list as it last had it; null before the first start. */
    private List<Directory.Entry> known;

    private long knownVersion;

    ModelProxy(ModelProxies all, Run run, int number, int tier, int self, int zone) {
        super(run, number, tier, self, zone);
        this.all = all;
    }

    @Override
    protected boolean up() {
        return life != null;
    }

    @Override
    protected Pending take(Caller caller, ClientAttempt what) {
        ProxyRequest call = new ProxyRequest(run, caller, this, what);
        call.send();
        return call;
    }

    @Override
    public void shares(List<ZoneTrafficShare> shares) {
        if (life != null) {
            life.shares(shares);
        }
    }

    @Override
    protected void tellAgain() {
        if (life != null) {
            run.directory.watch(life);
        }
    }

    @Override
    protected void start(Runnable whenReady) {
        Directory.Listing listing = run.directory.listing(tier);
        List<Endpoint> list = new ArrayList<>();
        List<Node> nodes = new ArrayList<>();
        if (known == null) {
            listing.whole(list, nodes);
            knownVersion = listing.version();
        } else {
            for (Directory.Entry entry : known) {
                list.add(entry.told());
                nodes.add(entry.node());
            }
        }
        long seed =
                run.streams.seedOf(Streams.Concern.MODULE, (long) number << 32 | incarnations++);
        life = new ProxyInstance(run, this, seed, knownVersion);
        life.begin(list, nodes);
        whenReady.run();
    }

    @Override
    protected void forget() {
        known = null;
    }

    @Override
    protected void die() {
        if (life != null) {
            ProxyInstance ended = life;
            known = ended.known();
            knownVersion = ended.version();
            life = null;
            ended.die();
        }
    }
}
