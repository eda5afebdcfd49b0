package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.membership.SwimSimulation;
import cedarrudder.membership.MembershipSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Sound programs keep the rules; for each rule there is one that is broken on purpose, and it is
 * caught.
 */
public class CheckedHistoriesTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int SETTLE = 90;
    private static final MembershipSettings SOUND = MembershipSettings.DEFAULT;

    private static SwimSimulation.Network network(double loss) {
        return new SwimSimulation.Network(loss, MILLI / 10, 2 * MILLI);
    }

    private static Set<String> broken(Verdict verdict) {
        Set<String> rules = new TreeSet<>();
        verdict.breaches()
                .forEach(
                        breach ->
                                rules.add(
                                        breach.rule()
                                                + ": "
                                                + breach.why().replaceAll("[0-9]+", "N")));
        return rules;
    }

    private static void assertCaught(Verdict verdict, String rule, String why) {
        assertTrue(
                verdict.breaches().stream()
                        .anyMatch(b -> b.rule().equals(rule) && b.why().contains(why)),
                "not caught: " + broken(verdict));
    }

    @Test
    public void membershipKeepsTheRulesInVirtualTime() {
        for (long seed = 1; seed <= 10; seed++) {
            for (int replicas : new int[] {5, 12}) {
                Verdict verdict = VirtualRun.play(replicas, network(0), SOUND, seed, SETTLE);
                assertEquals(
                        verdict.breaches(), List.of(), "seed " + seed + ", copies " + replicas);
                assertTrue(verdict.deaths() > 0, verdict.toString());
            }
        }
    }

    @Test
    public void oneThatNeverAsksTheDeadAgainIsCaught() {
        MembershipSettings never =
                new MembershipSettings(
                        SOUND.period(), SOUND.ackTimeout(), 3, 4, 4, 3, 3, 8, 1_000_000);
        // A world whose two halves end up without anyone that both hold as live.
        Verdict verdict = VirtualRun.play(12, network(0), never, 5, SETTLE);
        assertCaught(verdict, "views", "as dead, which runs");
        assertCaught(verdict, "true deaths", "as dead, which ran and could be reached");
    }

    @Test
    public void oneThatFindsDeathsTooLateIsCaught() {
        MembershipSettings slow =
                new MembershipSettings(
                        SOUND.period(), SOUND.ackTimeout(), 3, 100, 20, 16, 3, 8, 10);
        assertCaught(
                VirtualRun.play(12, network(0), slow, 1, SETTLE),
                "true deaths",
                "as live, which didn't run");
    }

    @Test
    public void oneThatTakesTheLivingForDeadIsCaught() {
        MembershipSettings hasty =
                new MembershipSettings(SOUND.period(), 10_000, 0, 0.001, 1, 1, 1, 0, 10);
        SwimSimulation.Network slow = new SwimSimulation.Network(0, 500 * MILLI, 1_500 * MILLI);
        assertCaught(
                VirtualRun.play(12, slow, hasty, 1, SETTLE),
                "true deaths",
                "for dead, and nothing had happened");
    }

    /**
     * Members that tell one another each second that they live, and believe whoever says so
     * whatever its life: a word that was long under way brings back the dead.
     */
    @Test
    public void oneThatBelievesAnOldLifeIsCaught() {
        List<HistoryEvent> events = new ArrayList<>();
        long[] heard = {0, 0};
        boolean[] dead = new boolean[2];
        events.add(new HistoryEvent(0, 0, 100, "started", Map.of()));
        events.add(new HistoryEvent(0, 1, 101, "started", Map.of()));
        events.add(new HistoryEvent(0, 0, 100, "speaks", Map.of()));
        events.add(new HistoryEvent(0, 1, 101, "speaks", Map.of()));
        for (int second = 1; second < 60; second++) {
            boolean runs = second < 20;
            if (second == 20) {
                events.add(new HistoryEvent(second * SECOND, 1, 101, "ended", Map.of()));
            }
            if (runs || second == 40) { // what was sent at 19 arrives
                heard[1] = second;
                if (dead[1] || second == 1) {
                    events.add(belief(second, "alive"));
                }
                dead[1] = false;
            } else if (second - heard[1] > 5 && !dead[1]) {
                dead[1] = true;
                events.add(belief(second, "dead"));
            }
        }
        Verdict verdict = Verdict.of(events, 60 * SECOND, SOUND.period(), SECOND, List.of());
        assertCaught(verdict, "true deaths", "believed copy 1's life 7 again");
    }

    private static HistoryEvent belief(int second, String what) {
        return new HistoryEvent(second * SECOND, 0, 100, what, Map.of("about", "1", "number", "7"));
    }

    /** A server that answers one request twice, lets one go without, and serves one. */
    @Test
    public void oneThatAnswersTwiceOrNeverIsCaught() throws Exception {
        Path file = Files.createTempFile("world", ".jsonl");
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> serve(server));
            thread.setDaemon(true);
            thread.start();
            HistoryRecorder chronicle = new HistoryRecorder(file);
            TestClients callers =
                    new TestClients(
                            List.of((InetSocketAddress) server.getLocalSocketAddress()), chronicle);
            long until = System.nanoTime() + 20 * SECOND;
            while (Files.readString(file).split("\"asked\"").length < 6
                    && System.nanoTime() < until) {
                Thread.sleep(10);
            }
            callers.end();
            chronicle.close();
            List<HistoryEvent> events = History.read(List.of(file));
            assertTrue(events.size() > 5, "callers asked too little: " + events);
            Verdict verdict =
                    Verdict.of(events, System.nanoTime(), SOUND.period(), SECOND, List.of());
            assertCaught(verdict, "one answer", "got two answers");
            assertCaught(verdict, "one answer", "got no answer");
        } finally {
            Files.delete(file);
        }
    }

    private static void serve(ServerSocket server) {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        try {
            for (int i = 0; ; i++) {
                try (Socket socket = server.accept()) {
                    StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        head.append((char) socket.getInputStream().read());
                    }
                    socket.getOutputStream()
                            .write(answer.repeat(new int[] {1, 2, 0}[i % 3]).getBytes());
                }
            }
        } catch (IOException e) {
            // the test has ended
        }
    }
}
