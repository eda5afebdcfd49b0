package cedarrudder.program;

import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.Footprint;
import cedarrudder.footprint.ListShape;
import cedarrudder.protocol.SiteSettings;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What is worked out beside the objects themselves, as JOL counts them on this virtual machine. */
public class FootprintOfGraphsTest {

    private static final double MOST_UNDER = 0.03;
    private static final double MOST_OVER = 0.15;

    /** Of what {@link Held#list} writes: ids of 10 characters, values that differ by address and zone. */
    private static ListShape shape(String text, int nodes) {
        long values = 0;
        for (String entry : text.split("\\{\"id\"")) {
            for (String key : new String[] {"addr", "zone", "kind", "state"}) {
                int at = entry.indexOf("\"" + key + "\":\"");
                if (at >= 0) {
                    int from = at + key.length() + 4;
                    values += entry.indexOf('"', from) - from;
                }
            }
        }
        return new ListShape(nodes, text.length(), nodes * 10L, values);
    }

    private static String compare(String what, long estimate, long counted) {
        double off = estimate / (double) counted - 1;
        String line = String.format("%s: worked out %d, counted %d, %+.1f %%", what, estimate, counted,
                100 * off);
        System.out.println(line);
        return off < -MOST_UNDER || off > MOST_OVER ? line + "\n" : "";
    }

    /** Guards against a part that grew, or one that is forgotten, at rest or while a list is read. */
    @Test
    public void neverUnderByMoreThanThreeInAHundredNorOverByMoreThanFifteen() throws Exception {
        Footprint footprint = new Footprint(MachineLayout.read());
        StringBuilder wrong = new StringBuilder();
        String most = System.getProperty("footprint.nodes", "100");
        for (int nodes = 10; nodes <= Integer.parseInt(most); nodes *= 10) {
            for (int zones : new int[] {1, 12}) {
                for (int tenants : new int[] {1, 20}) {
                    SiteSettings site = Held.site(zones, tenants);
                    Held held = new Held(site);
                    long none = Held.graph(held.roots()).totalSize();
                    String text = Held.list(0, nodes, zones);
                    held.load(text);
                    ListShape list = shape(text, nodes);
                    String name = nodes + " nodes, " + zones + " zones, " + tenants + " tenants";
                    List<Object> kept = new ArrayList<>(held.roots());
                    kept.add(held.parsed.get(0)); // the buffer, which a watch keeps
                    long rest = Held.graph(kept).totalSize() - none;
                    wrong.append(compare(name + ", at rest", footprint.atRest(list), rest));
                    List<Object> all = new ArrayList<>(held.roots());
                    all.addAll(held.parsed);
                    long peak = Held.graph(all).totalSize() - none;
                    wrong.append(compare(name + ", at the peak", footprint.atPeak(ListShape.NONE, list,
                            nodes, nodes), peak));
                }
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }
}
