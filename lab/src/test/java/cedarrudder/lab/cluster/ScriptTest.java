package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Scripts, and what becomes of one datagram. */
public class ScriptTest {

    @Test
    public void allErrorsOfAScriptAreFoundAtOnce() {
        String text =
                """
                copies = 31
                length_s = 10
                settle = 3
                nodes = 2
                zones = 9
                clock_drifts_ppm = [1001]
                operator = '''
                [history]
                file = 1
                '''
                [[step]]
                at_s = 11
                do = "kil"
                copies = [1]
                [[step]]
                at_s = 8
                do = "flood"
                copies = [0.5]
                length_s = 3
                [[step]]
                at_s = 1
                do = "stop"
                [[step]]
                at_s = 2
                do = "cut"
                copies = [1]
                zones = [0]
                [[step]]
                at_s = 3
                do = "nodes"
                zones = [3]
                mood = "well"
                [[step]]
                at_s = 4
                do = "call"
                copies = [0]
                path = "no slash"
                status = 99
                """;
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () -> ScriptReader.read(ConfigDocument.parse("s", text)));
        assertEquals(
                bad.problems().stream().map(p -> p.line() + " " + p.key()).toList(),
                List.of(
                        "1 copies",
                        "3 settle",
                        "5 zones",
                        "6 clock_drifts_ppm",
                        "7 operator",
                        "7 operator",
                        "12 step[0].at_s",
                        "13 step[0].do",
                        "18 step[1].copies",
                        "19 step[1].length_s",
                        "20 step[2].copies",
                        "27 step[3].zones",
                        "31 step[4].zones",
                        "37 step[5].path",
                        "38 step[5].status"));
    }

    /**
     * Replicas and nodes are dealt to zones in turn; a zone that is cut off takes its nodes along.
     */
    @Test
    public void zonesAreReplicasAndNodes() throws InvalidFileException {
        Script script =
                ScriptReader.read(
                        ConfigDocument.parse(
                                "s",
                                """
                                copies = 5
                                nodes = 4
                                zones = 3
                                length_s = 9
                                [[step]]
                                at_s = 1
                                do = "cut"
                                zones = [0]
                                [[step]]
                                at_s = 2
                                do = "nodes"
                                zones = [1, 2]
                                copies = [4]
                                mood = "cold"
                                [[step]]
                                at_s = 3
                                do = "mute"
                                zones = [1]
                                towards = [2]
                                [[step]]
                                at_s = 4
                                do = "kill"
                                leader = true
                                """));
        assertEquals(script.steps().get(0).replicas(), List.of(0, 3));
        assertEquals(
                script.steps().get(0).sides(),
                new NetworkPartition(List.of(), List.of(0, 3), List.of(1, 2)));
        assertEquals(script.steps().get(1).replicas(), List.of(4));
        assertEquals(script.steps().get(1).nodes(), List.of(1, 2));
        assertEquals(
                script.steps().get(2).sides(),
                new NetworkPartition(List.of(2), List.of(), List.of()));
        assertTrue(script.steps().get(3).leader());
        assertEquals(script.zone(4), 1);
    }

    @Test
    public void theScriptsThatComeWithTheLabAreSound() throws InvalidFileException {
        for (String name : List.of("short", "hard", "agreed")) {
            ScriptReader.read(Path.of("lab", "clusters", name + ".toml"));
        }
    }

    @Test
    public void aSeedDrawsOneScript() {
        assertEquals(RandomScript.of(5, 12), RandomScript.of(5, 12));
    }

    /**
     * Each kind of harm comes as often as asked; one seed, one fate; what is under way is bounded.
     */
    @Test
    public void aLinkDoesWhatTheWeatherSays() {
        NetworkConditions weather =
                new NetworkConditions(0.3, 0.2, 0.1, 0.25, 2_000_000, 21_000_000);
        byte[] datagram = new byte[100];
        List<List<Long>> fates = new ArrayList<>();
        for (int time = 0; time < 2; time++) {
            Link link = new Link(new SplittableRandom(9));
            List<Long> fate = new ArrayList<>();
            int lost = 0;
            int twice = 0;
            int turned = 0;
            int late = 0;
            for (int i = 0; i < 10_000; i++) {
                List<Link.Delivery> all = link.sent(i, datagram, weather);
                lost += all.isEmpty() ? 1 : 0;
                twice += all.size() == 2 ? 1 : 0;
                for (Link.Delivery each : all) {
                    fate.add(each.at());
                    turned += each.datagram() == datagram ? 0 : 1;
                    late += each.at() - i > weather.maxDelay() ? 1 : 0;
                    link.arrived();
                }
            }
            assertEquals(lost, 3_000, 200);
            assertEquals(twice, 1_400, 200);
            assertEquals(turned, fate.size() / 4, 200);
            assertEquals(late, fate.size() * 0.1 * 0.95, 200);
            fates.add(fate);
        }
        assertEquals(fates.get(0), fates.get(1));
        Link link = new Link(new SplittableRandom(9));
        int underWay = 0;
        for (int i = 0; i < 1_000; i++) {
            underWay += link.sent(i, datagram, NetworkConditions.CALM).size();
        }
        assertEquals(underWay, Link.MAX_UNDER_WAY);
        link.cut(true);
        assertEquals(link.arrived(), false);
    }
}
