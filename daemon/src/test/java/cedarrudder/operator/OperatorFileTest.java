package cedarrudder.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.budget.BudgetSettings;
import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.failover.Regions;
import cedarrudder.failover.Regions.Region;
import cedarrudder.forwarding.DiscoveryTimeouts;
import cedarrudder.logging.Level;
import cedarrudder.logging.LogSettings;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.InvalidFileException;
import cedarrudder.transport.ClientLimits;
import cedarrudder.transport.EndpointLimits;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Tests the operator's file: its settings, the defaults without it, and the reports of all its
 * errors.
 */
public class OperatorFileTest {

    private static final Path SHIPPED = Path.of("deploy", "operator.toml");

    private static OperatorFile read(String text) throws InvalidFileException {
        return OperatorFile.read(ConfigDocument.parse("o.toml", text));
    }

    private static void assertDefaults(OperatorFile operator) {
        assertEquals(operator.of(LogTable.LOG), LogConfiguration.DEFAULT);
        assertEquals(operator.of(CallersTable.CALLERS), ClientLimits.DEFAULT);
        assertEquals(operator.of(NodesTable.NODES), EndpointLimits.DEFAULT);
        assertEquals(operator.of(DiscoveryTable.DISCOVERY), DiscoveryTimeouts.DEFAULT);
    }

    @Test
    public void shippedFileStatesTheDefaults() throws Exception {
        String text = Files.readString(SHIPPED);
        assertDefaults(OperatorFile.NONE);
        assertDefaults(read(text));
        String uncommented = text.replaceAll("(?m)^#(?=[\\[a-z])", "");
        assertTrue(uncommented.contains("\n[log]\nformat = "), uncommented);
        assertDefaults(read(uncommented));
        assertNull(read(text).of(BudgetTable.BUDGET));
        assertEquals(read(uncommented).of(BudgetTable.BUDGET), BudgetSettings.of(""));
        assertNull(read(text).of(HistoryTable.HISTORY));
        assertEquals(
                read(uncommented).of(HistoryTable.HISTORY),
                new HistorySettings(Path.of("history.jsonl"), 0, 0));
        assertEquals(read(uncommented).of(FootprintTable.FOOTPRINT), FootprintSettings.DEFAULT);
        assertNull(read(text).of(FailoverTable.FAILOVER));
        FailoverSettings failover = read(uncommented).of(FailoverTable.FAILOVER);
        assertEquals(
                failover.regions().regions(),
                List.of(new Region("east", List.of("a", "b"), List.of())));
        assertEquals(failover.regions(Regions.NONE), FailoverSettings.DEFAULT);
        assertNull(read(text).of(AgreementTable.AGREEMENT));
        assertEquals(
                read(uncommented).of(AgreementTable.AGREEMENT),
                new AgreementTableSettings(
                        ConsensusSettings.DEFAULT, CoordinationSettings.DEFAULT, List.of(), null));
        assertNull(read(text).of(MembershipTable.MEMBERSHIP));
        assertEquals(read(uncommented).of(MembershipTable.MEMBERSHIP), MembershipSettings.DEFAULT);
    }

    @Test
    public void footprintIsOffWithoutItsTable() throws Exception {
        assertNull(read(Files.readString(SHIPPED)).of(FootprintTable.FOOTPRINT));
        assertEquals(read("[footprint]\n").of(FootprintTable.FOOTPRINT), FootprintSettings.DEFAULT);
        assertEquals(
                read("[footprint]\nheap_share = 0.2\nfrom_nodes = 7\nask_again_ms = 2000\n")
                        .of(FootprintTable.FOOTPRINT),
                new FootprintSettings(0.2, 7, 2_000_000_000L));
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () -> read("[footprint]\nheap_share = 0.95\nask_again_ms = 10\n"));
        assertEquals(bad.problems().size(), 2, bad.problems().toString());
    }

    /**
     * A zone in two regions is reported, and so are times of which one makes the other ineffective.
     */
    @Test
    public void failoverReportsAllContradictions() throws Exception {
        assertEquals(
                read("[failover]\n[membership]\n[agreement]\n").of(FailoverTable.FAILOVER),
                FailoverSettings.DEFAULT);
        assertEquals(
                read("[failover]\nleave = [\"b\"]\n[membership]\n[agreement]\n")
                        .of(FailoverTable.FAILOVER)
                        .evacuatedZones(),
                List.of("b"));
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () ->
                                read(
                                        """
                                        [failover]
                                        period_ms = 3000
                                        target_share = 1.5
                                        return_hold_ms = 9000
                                        return_hold_most_ms = 8000
                                        [[failover.region]]
                                        name = "east"
                                        zones = ["a", "b"]
                                        nearest = ["south"]
                                        [[failover.region]]
                                        name = "west"
                                        zones = ["b"]
                                        nearst = ["east"]
                                        """));
        assertEquals(
                bad.problems().stream().map(Object::toString).sorted().toList(),
                Stream.of(
                                "o.toml:1: failover: found no [agreement]; allowed: a table"
                                        + " [agreement] beside it, since replicas have to agree on"
                                        + " where requests go",
                                "o.toml:1: failover.evidence_age_ms: found 2500 with period_ms ="
                                        + " 3000; allowed: two periods or more",
                                "o.toml:3: failover.target_share: found 1.5; allowed: a number from"
                                        + " 0.1 to 1",
                                "o.toml:5: failover.return_hold_most_ms: found 8000 with"
                                        + " return_hold_ms = 9000; allowed: no less than"
                                        + " return_hold_ms",
                                "o.toml:9: failover.region[0].nearest: found \"south\"; allowed:"
                                        + " other regions, each once",
                                "o.toml:12: failover.region[1].zones: found \"b\", which is in"
                                        + " \"east\"; allowed: each zone in one region",
                                "o.toml:13: failover.region[1].nearst: found an unknown key; "
                                        + "allowed: did you mean 'nearest'?")
                        .sorted()
                        .toList());
    }

    @Test
    public void membershipRejectsAnAckTimeoutOfAWholePeriod() throws Exception {
        try {
            read("[membership]\nperiod_ms = 200\nack_patience_ms = 200\nhelper = 1\n");
            throw new AssertionError("taken");
        } catch (InvalidFileException e) {
            assertEquals(e.problems().size(), 2, e.problems().toString());
            assertEquals(
                    e.problems().get(0).toString(),
                    "o.toml:3: membership.ack_patience_ms: found 200 with period_ms = 200; allowed:"
                            + " less than the period, in which other replicas probe too");
            assertTrue(e.problems().get(1).toString().contains("helpers"), e.problems().toString());
        }
    }

    @Test
    public void agreementRequiresMembershipAndConsistentTimes() throws Exception {
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () ->
                                read(
                                        """
                                        [agreement]
                                        voters = 4
                                        heartbeat_ms = 300
                                        lease_ms = 1000
                                        silence_ms = 5000
                                        folders = "x"
                                        """));
        assertEquals(
                bad.problems().stream()
                        .map(Object::toString)
                        .map(line -> line.replaceAll(":.*found", "").replaceAll(";.*", ""))
                        .sorted()
                        .toList(),
                List.of(
                        "o.toml 1000 with plan_ms = 500",
                        "o.toml 4",
                        "o.toml 5000 with voter_patience_ms = 5000",
                        "o.toml 600 with heartbeat_ms = 300",
                        "o.toml an unknown key",
                        "o.toml no [membership]"));
        AgreementTableSettings read =
                read("""
                [membership]
                [agreement]
                voters = 3
                zones = ["a", "b"]
                folder = "kept"
                silence_ms = 6000
                """)
                        .of(AgreementTable.AGREEMENT);
        assertEquals(
                read,
                new AgreementTableSettings(
                        new ConsensusSettings(
                                150_000_000L,
                                600_000_000L,
                                1_200_000_000L,
                                3,
                                5_000_000_000L,
                                400_000_000L,
                                4,
                                16_384,
                                32,
                                6_000_000_000L),
                        CoordinationSettings.DEFAULT,
                        List.of("a", "b"),
                        Path.of("kept")));
    }

    @Test
    public void eachKeySetsItsValue() throws Exception {
        OperatorFile operator =
                read(
                        """
                        [log]
                        format = "json"
                        level = "debug"
                        lines_per_s = 0
                        line_chars = 40
                        [callers]
                        request_patience_ms = 101
                        silent_patience_ms = 51
                        idle_patience_ms = 501
                        answer_patience_ms = 502
                        head_bytes = 1025
                        body_bytes = 0
                        descriptors_share = 0.6
                        [nodes]
                        probe_patience_ms = 11
                        answer_patience_ms = 12
                        head_bytes = 1026
                        body_bytes = 1
                        descriptors_share = 0.3
                        [discovery]
                        call_patience_ms = 102
                        ask_again_ms = 103
                        watch_patience_ms = 2501
                        watch_spread_ms = 7
                        [budget]
                        hop = "core.2"
                        tries = 5
                        tries_without_fields = 4
                        keep_tries = 2
                        retry_share = 0.3
                        retry_least_per_s = 7
                        window_ms = 5000
                        path_most = 9
                        let_in_least = 0.2
                        """);
        assertEquals(
                operator.of(LogTable.LOG),
                new LogConfiguration(
                        LogConfiguration.Form.JSON, new LogSettings(Level.DEBUG, 0, 40)));
        assertEquals(
                operator.of(CallersTable.CALLERS),
                new ClientLimits(101_000_000, 51_000_000, 501_000_000, 502_000_000, 1025, 0, 0.6));
        assertEquals(
                operator.of(NodesTable.NODES),
                new EndpointLimits(11_000_000, 12_000_000, 1026, 1, 0.3));
        assertEquals(
                operator.of(DiscoveryTable.DISCOVERY),
                new DiscoveryTimeouts(102_000_000, 103_000_000, 2_501_000_000L, 7_000_000));
        assertEquals(
                operator.of(BudgetTable.BUDGET),
                new BudgetSettings("core.2", 5, 4, 2, 0.3, 7, 5_000_000_000L, 9, 0.2));
        assertEquals(
                operator.with(LogTable.LOG, LogConfiguration.DEFAULT).of(LogTable.LOG),
                LogConfiguration.DEFAULT);
        assertSame(
                operator.with(LogTable.LOG, LogConfiguration.DEFAULT).of(NodesTable.NODES),
                operator.of(NodesTable.NODES));
    }

    @Test
    public void allErrorsAreReportedAtOnce() {
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () ->
                                read(
                                        """
                                        [callers]
                                        request_patience_ms = 500
                                        silent_patience_ms = 700
                                        head_byte = 2048
                                        descriptors_share = 0.7
                                        [nodes]
                                        body_bytes = -1
                                        descriptors_share = 0.3
                                        [discovry]
                                        call_patience_ms = 1
                                        [log]
                                        format = "xml"
                                        [budget]
                                        hop = "a,b"
                                        tries = 1
                                        tries_without_fields = 2
                                        keep_tries = 3
                                        retry_share = 0
                                        retry_least_per_s = 0
                                        """));
        assertEquals(
                bad.problems().stream().map(ConfigProblem::toString).toList(),
                List.of(
                        "o.toml:3: callers.silent_patience_ms: found 700 with request_patience_ms ="
                            + " 500; allowed: no more than request_patience_ms, after which it is"
                            + " closed anyway",
                        "o.toml:4: callers.head_byte: found an unknown key; allowed: did you mean"
                                + " 'head_bytes'?",
                        "o.toml:7: nodes.body_bytes: found -1; allowed: a whole number from 0 to"
                                + " 1073741824",
                        "o.toml:8: nodes.descriptors_share: found 0.7 of [callers] and 0.3 of"
                                + " [nodes]; allowed: 0.9 for both together",
                        "o.toml:9: discovry: found an unknown key; allowed: did you mean"
                                + " 'discovery'?",
                        "o.toml:12: log.format: found \"xml\"; allowed: text, json",
                        "o.toml:14: budget.hop: found \"a,b\"; allowed: 1 to 32 letters, digits,"
                                + " dots, dashes, underscores",
                        "o.toml:15: budget.tries: found 1 with retry_share = 0 and"
                                + " retry_least_per_s = 0; allowed: 0, since these allow no further"
                                + " attempt",
                        "o.toml:16: budget.tries_without_fields: found 2 with tries = 1; allowed:"
                                + " no more than tries, which a request with fields gets",
                        "o.toml:17: budget.keep_tries: found 3 with tries = 1; allowed: no more"
                                + " than tries, of which they are reserved"));
    }

    @Test
    public void descriptorShareIsCheckedAgainstTheDefaultOfTheOtherTable() throws Exception {
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () -> read("[callers]\ndescriptors_share = 0.7\n"));
        assertEquals(bad.problems().get(0).line(), 2);
        assertFalse(
                read("[callers]\ndescriptors_share = 0.65\n")
                        .of(CallersTable.CALLERS)
                        .equals(ClientLimits.DEFAULT));
    }
}
