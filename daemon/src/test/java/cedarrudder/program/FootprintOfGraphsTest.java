package cedarrudder.program;

import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.EndpointListShape;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Compares the estimated footprint with the objects themselves, as JOL counts them on this virtual
 * machine.
 */
public class FootprintOfGraphsTest {

    private static final double MAX_UNDER = 0.03;
    private static final double MAX_OVER = 0.15;

    /**
     * Returns the shape of a text of {@link RetainedEndpointList#list}: ids of 10 characters,
     * values that differ by address and zone.
     */
    private static EndpointListShape shape(String text, int nodes) {
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
        return new EndpointListShape(nodes, text.length(), nodes * 10L, values);
    }

    private static String compare(String what, long estimate, long counted) {
        double off = estimate / (double) counted - 1;
        String line =
                String.format(
                        "%s: estimated %d, counted %d, %+.1f %%",
                        what, estimate, counted, 100 * off);
        System.out.println(line);
        return off < -MAX_UNDER || off > MAX_OVER ? line + "\n" : "";
    }

    /**
     * The estimate must cover every part of a list and its size, at rest and while a list is read.
     */
    @Test
    public void listEstimateIsAtMost3PercentBelowAnd15PercentAboveTheCount() throws Exception {
        EndpointListFootprint footprint = new EndpointListFootprint(MachineLayout.read());
        StringBuilder wrong = new StringBuilder();
        String max = System.getProperty("footprint.nodes", "100");
        for (int nodes = 10; nodes <= Integer.parseInt(max); nodes *= 10) {
            for (int zones : new int[] {1, 12}) {
                for (int tenants : new int[] {1, 20}) {
                    SiteSettings site = RetainedEndpointList.site(zones, tenants);
                    RetainedEndpointList retained = new RetainedEndpointList(site);
                    long none = RetainedEndpointList.graph(retained.roots()).totalSize();
                    String text = RetainedEndpointList.list(0, nodes, zones);
                    retained.load(text);
                    EndpointListShape list = shape(text, nodes);
                    String name = nodes + " nodes, " + zones + " zones, " + tenants + " tenants";
                    List<Object> retainedAtRest = new ArrayList<>(retained.roots());
                    retainedAtRest.add(retained.parsed.get(0)); // the buffer, which a watch retains
                    long rest = RetainedEndpointList.graph(retainedAtRest).totalSize() - none;
                    wrong.append(compare(name + ", at rest", footprint.atRest(list), rest));
                    List<Object> all = new ArrayList<>(retained.roots());
                    all.addAll(retained.parsed);
                    long peak = RetainedEndpointList.graph(all).totalSize() - none;
                    wrong.append(
                            compare(
                                    name + ", at the peak",
                                    footprint.atPeak(EndpointListShape.NONE, list, nodes, nodes),
                                    peak));
                    retained.load(text);
                    List<Object> again = new ArrayList<>(retainedAtRest);
                    again.addAll(retained.parsed);
                    wrong.append(
                            compare(
                                    name + ", received again",
                                    footprint.peakOfRepeatedList(list),
                                    RetainedEndpointList.graph(again).totalSize() - none));
                }
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    private static RouteTable table(int zones, int leaving, int limits) {
        List<RouteTable.ZoneRoute> shares = new ArrayList<>();
        for (int i = 0; i < zones * zones; i++) {
            shares.add(
                    new RouteTable.ZoneRoute(
                            i / zones,
                            i % zones,
                            RouteTable.RouteReason.SPILLED,
                            RouteTable.TOTAL_WEIGHT / zones,
                            i));
        }
        List<RouteTable.DrainingNode> nodes = new ArrayList<>();
        for (int i = 0; i < leaving; i++) {
            nodes.add(new RouteTable.DrainingNode(i * 0x9E3779B9L, i / 8));
        }
        List<RouteTable.ClassLimit> classes = new ArrayList<>();
        for (int i = 0; i < limits; i++) {
            classes.add(new RouteTable.ClassLimit(i, 100));
        }
        return new RouteTable(1, 1, 1, 1, shares, nodes, classes);
    }

    /** The estimate must cover every part of the route table and its size. */
    @Test
    public void routeTableEstimateIsAtMost3PercentBelowAnd15PercentAboveTheCount() {
        RouteTableFootprint tables = new RouteTableFootprint(MachineLayout.read());
        StringBuilder wrong = new StringBuilder();
        for (int[] size :
                new int[][] {
                    {1, 0, 0},
                    {2, 1, 2},
                    {3, 10, 3},
                    {12, 100, 5},
                    {20, 1_000, 20},
                    {64, 10_000, 256}
                }) {
            RouteTable table = table(size[0], size[1], size[2]);
            byte[] bytes = RouteTableCodec.encode(table);
            // The empty list and the route reasons are shared objects of the virtual machine.
            List<Object> shared = List.of(RouteTable.RouteReason.SPILLED, Stream.empty().toList());
            List<Object> all = new ArrayList<>(shared);
            all.addAll(List.of(table, bytes));
            long counted =
                    RetainedEndpointList.graph(all).totalSize()
                            - RetainedEndpointList.graph(shared).totalSize();
            wrong.append(
                    compare(
                            "table of " + size[0] + " zones, " + size[1] + " leaving",
                            tables.atRest(table),
                            counted));
            RouteTable read = RouteTableCodec.decode(bytes).table();
            all.addAll(List.of(read, bytes.clone()));
            long both =
                    RetainedEndpointList.graph(all).totalSize()
                            - RetainedEndpointList.graph(shared).totalSize();
            assertTrue(tables.atPeak(table, read) >= both, "both " + both);
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }
}
