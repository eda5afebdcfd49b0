package cedarrudder.lab.model;

import java.util.ArrayList;
import java.util.List;

/** What spreads clients over the proxies of the first tier. It knows late of those that died. */
public final class FrontBalancer {

    private final Run run;
    private final List<List<Proxy>> taken = new ArrayList<>();

    FrontBalancer(Run run) {
        this.run = run;
        for (int i = 0; i < Math.max(1, run.scenario.network().zones().size()); i++) {
            taken.add(new ArrayList<>());
        }
    }

    /** Sends clients to a proxy from now on. */
    public void take(Proxy proxy) {
        if (!taken.get(proxy.zone).contains(proxy)) {
            taken.get(proxy.zone).add(proxy);
        }
    }

    /** A proxy has died: it is noticed some time later. */
    public void died(Proxy proxy, long notice) {
        run.agenda.at(
                run.agenda.now() + notice,
                new Task() {
                    @Override
                    protected void run() {
                        if (!proxy.up()) {
                            taken.get(proxy.zone).remove(proxy);
                        }
                    }
                });
    }

    /** A proxy of the client's zone, of any zone if there is none; null if there is none at all. */
    Proxy pick(long chance, long client) {
        int zone = (int) (HashRandom.unit(client) * taken.size());
        for (int i = 0; i < taken.size(); i++) {
            List<Proxy> here = taken.get((zone + i) % taken.size());
            if (!here.isEmpty()) {
                return here.get((int) (HashRandom.unit(chance) * here.size()));
            }
        }
        return null;
    }
}
