package cedarrudder.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A world hands shares of zones to its proxies, and their calls keep to them. */
public class SharesInModelTest {

    private static final long SECOND = 1_000_000_000L;
    private static final int ZONES = 3;

    private Scenarios site;
    private Notes notes;
    private Run run;

    @BeforeMethod
    public void threeZones() {
        site = new Scenarios();
        site.zones = List.of("a", "b", "c");
        site.nodes = 18;
        site.proxies = 6;
        site.perSecond = 300;
        site.seconds = 24;
        notes = new Notes();
        run = Model.of(site.make(), 1, Policies.DECIDE, "v", notes, Guard.usual());
    }

    private void at(double seconds, Runnable what) {
        run.agenda.at(
                Model.START + (long) (seconds * SECOND),
                new Task() {
                    @Override
                    protected void run() {
                        what.run();
                    }
                });
    }

    private RunResult play() {
        run.begin();
        while (!run.ended() && run.agenda.next(run.until)) {
            // one event after the other
        }
        assertEquals(run.result().finding(), "");
        return run.result();
    }

    /** Each proxy sends these parts to its own zone and to the next; none: it has no shares. */
    private void tellAll(int own, int next) {
        for (Proxy proxy : run.proxiesTo(0)) {
            List<ZoneTrafficShare> shares = new ArrayList<>();
            if (own > 0) {
                shares.add(new ZoneTrafficShare(proxy.zone, own, 0));
            }
            if (next > 0) {
                shares.add(new ZoneTrafficShare((proxy.zone + 1) % ZONES, next, 0));
            }
            proxy.shares(shares);
        }
    }

    /** How large a part of what was sent in a time went to its proxy's own zone. */
    private double near(double from, double to) {
        List<Notes.Note> sent = notes.between("sent", from, to);
        return sent.stream()
                        .filter(n -> zoneOf(n.endpoint()) == run.proxiesTo(0).get(n.proxy()).zone)
                        .count()
                / (double) sent.size();
    }

    private int zoneOf(long endpoint) {
        return run.nodesOf(0).stream()
                .filter(n -> n.endpoint == endpoint)
                .findAny()
                .orElseThrow()
                .zone;
    }

    @Test
    public void callsKeepToTheSharesThatAWorldHandsOut() {
        at(6, () -> tellAll(0, 10_000));
        at(12, () -> tellAll(7_000, 3_000));
        at(18, () -> tellAll(0, 0));
        RunResult result = play();
        assertTrue(near(0, 6) > 0.95, "without shares: " + near(0, 6));
        assertEquals(near(6, 12), 0, 0.001);
        assertEquals(near(12, 18), 0.7, 0.01);
        assertTrue(near(18, 24) > 0.95, "without shares again: " + near(18, 24));
        assertTrue(result.whole() > 0.9, result.toString());
    }

    /** Detects a proxy that starts with the shares of its former life. */
    @Test
    public void theNextLifeKnowsNothingOfThem() {
        at(2, () -> tellAll(0, 10_000));
        at(
                6,
                () -> {
                    Proxy proxy = run.proxiesTo(0).get(0);
                    proxy.die();
                    tellAll(0, 10_000); // without effect where it is down
                    proxy.start(() -> run.front.take(proxy));
                });
        play();
        List<Notes.Note> after = notes.find("sent", n -> n.proxy() == 0 && n.at() > 6);
        assertTrue(after.size() > 500, after.size() + " sent");
        assertTrue(
                after.stream().filter(n -> zoneOf(n.endpoint()) == 0).count() > 0.9 * after.size());
    }
}
