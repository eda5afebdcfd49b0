package cedarrudder;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.Balancer.Outcome;
import cedarrudder.Balancer.Safety;
import cedarrudder.Balancer.State;
import org.junit.jupiter.api.Test;

class ServerTest {
    private static final long MS = Site.MS;

    @Test
    void isSilentWhenNothingComesBackForTooLong() {
        Server server = new Server(Site.ready(1), 0, 4, 0);
        assertFalse(server.silent(900 * MS, 100 * MS), "nothing is out");
        server.sent(0, 1);
        server.sent(50 * MS, 1);
        assertFalse(server.silent(100 * MS, 100 * MS));
        assertTrue(server.silent(101 * MS, 100 * MS));
        server.ended(110 * MS, Outcome.OK);
        assertFalse(server.silent(111 * MS, 100 * MS), "an answer ends the silence");
    }

    @Test
    void aColdStartBeginsInDebt() {
        Safety safety = new Site().settings().safety();
        Tuning defaults = Tuning.DEFAULTS;
        Server server = new Server(Site.endpoint(1, 0, 0, State.READY, 1), 1, 4, 0.5);
        assertFalse(
                server.withinColdBudget(2, 10, defaults, safety),
                "no copy sends its first request at once");
        assertTrue(server.withinColdBudget(1 + 200 * MS, 10, defaults, safety));
        server.sent(1 + 200 * MS, 1);
        assertFalse(
                server.withinColdBudget(2 + 200 * MS, 10, defaults, safety),
                "nor the next right after");
    }

    /**
     * Guards against many copies that all wait for a call, and then send their one request at once.
     */
    @Test
    void aTurnThatIsNotUsedPassesBy() {
        Safety safety = new Site().settings().safety();
        int copies = 1000;
        int ready = 0;
        for (int i = 0; i < copies; i++) {
            Server server =
                    new Server(Site.endpoint(1, 0, 0, State.READY, 1), 1, 4, i / (double) copies);
            // 0.02 requests a second at first: planned is half of the multiple, a quarter of it
            // while cold.
            for (long now = 1; now < 1 + 2 * Site.SECOND; now += 50 * MS) {
                server.withinColdBudget(now, 0.04, Tuning.DEFAULTS, safety);
            }
            ready +=
                    server.withinColdBudget(1 + 2 * Site.SECOND, 0.04, Tuning.DEFAULTS, safety)
                            ? 1
                            : 0;
        }
        // Half a window's part of each: 0.5 x 4 x 0.4 x 0.04 / 2.
        assertTrue(ready <= 0.016 * copies + 2, ready + " of " + copies + " may send at once");
        assertTrue(ready >= 0.016 * copies - 2, ready + " of " + copies + " may send at once");
    }
}
