package cedarrudder.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** The order of events. */
public class EventQueueTest {

    private final EventQueue agenda = new EventQueue(100);
    private final List<String> seen = new ArrayList<>();

    private Task task(String name) {
        return new Task() {
            @Override
            protected void run() {
                seen.add(name + "@" + agenda.now());
            }
        };
    }

    @Test
    public void sameInstantGoesByTheOrderOfScheduling() {
        EventQueue one = new EventQueue(0);
        List<String> order = new ArrayList<>();
        class Named extends Task {
            final String name;

            Named(String name) {
                this.name = name;
            }

            @Override
            protected void run() {
                order.add(name);
                if (name.equals("b")) {
                    one.at(5, new Named("scheduled by b for now"));
                    one.at(1, new Named("for the past"));
                }
            }
        }
        Task moved = new Named("moved");
        one.at(5, moved);
        one.at(5, new Named("a"));
        one.at(5, new Named("b"));
        one.at(5, new Named("c"));
        one.at(5, moved);
        while (one.next(10)) {
            assertTrue(one.now() <= 10);
        }
        assertEquals(
                order, List.of("a", "b", "c", "moved", "scheduled by b for now", "for the past"));
        assertEquals(one.now(), 5);
    }

    @Test
    public void keepsOrderWhileTasksMoveAndGo() {
        long seed = 7;
        Random random = new Random(seed);
        record Due(long at, int order, String name) {}
        List<Due> due = new ArrayList<>();
        Task[] tasks = new Task[2000];
        Due[] latest = new Due[tasks.length];
        for (int i = 0; i < 10_000; i++) {
            int which = random.nextInt(tasks.length);
            if (tasks[which] == null) {
                tasks[which] = task("t" + which);
            }
            if (random.nextInt(4) == 0) {
                agenda.cancel(tasks[which]);
                latest[which] = null;
            } else {
                long at = 100 + random.nextInt(500);
                agenda.at(at, tasks[which]);
                latest[which] = new Due(at, i, "t" + which);
            }
        }
        for (Due one : latest) {
            if (one != null) {
                due.add(one);
            }
        }
        due.sort(Comparator.comparingLong(Due::at).thenComparingInt(Due::order));
        while (agenda.next(Long.MAX_VALUE)) {
            assertTrue(agenda.now() >= 100);
        }
        assertEquals(seen, due.stream().map(d -> d.name() + "@" + d.at()).toList(), "seed " + seed);
        assertFalse(agenda.next(Long.MAX_VALUE));
    }
}
