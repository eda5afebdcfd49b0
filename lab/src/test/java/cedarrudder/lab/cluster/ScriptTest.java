package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import cedarrudder.toml.BadFileException;
import cedarrudder.toml.Document;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Scripts, and what becomes of one datagram. */
public class ScriptTest {

    @Test
    public void allErrorsOfAScriptAreFoundAtOnce() {
        String text = """
                copies = 31
                length_s = 10
                settle = 3
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
                """;
        BadFileException bad = expectThrows(BadFileException.class,
                () -> ScriptReader.read(Document.parse("s", text)));
        assertEquals(bad.problems().stream().map(p -> p.line() + " " + p.key()).toList(), List.of("1 copies",
                "3 settle", "5 step[0].at_s", "6 step[0].do", "11 step[1].copies", "12 step[1].length_s",
                "13 step[2].copies"));
    }

    @Test
    public void theScriptsThatComeWithTheLabAreSound() throws BadFileException {
        for (String name : List.of("short", "hard")) {
            ScriptReader.read(Path.of("lab", "clusters", name + ".toml"));
        }
    }

    @Test
    public void aSeedDrawsOneScript() {
        assertEquals(Script.drawn(5, 12), Script.drawn(5, 12));
    }

    /** Each kind of harm comes as often as asked; one seed, one fate; what is under way is bounded. */
    @Test
    public void aLinkDoesWhatTheWeatherSays() {
        Weather weather = new Weather(0.3, 0.2, 0.1, 0.25, 2_000_000, 21_000_000);
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
                    late += each.at() - i > weather.mostDelay() ? 1 : 0;
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
            underWay += link.sent(i, datagram, Weather.CALM).size();
        }
        assertEquals(underWay, Link.MOST_UNDER_WAY);
        link.cut(true);
        assertEquals(link.arrived(), false);
    }
}
