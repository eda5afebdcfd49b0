package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.attack.ToySite;
import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.LeaseSafety;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleSpeaker;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.checker.Violation;
import cedarrudder.lab.emulator.HostEnvironment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Real replicas that agree: killed, stopped and replaced, and their histories judged. Waits have
 * bounds that a busy machine does not reach.
 */
public class FleetIT {

    private static final int REPLICAS = 5;

    /** This one has a lasting disk. */
    private static final int KEEPS = 4;

    private static final long SECOND = 1_000_000_000L;
    private static final long PATIENCE = 90 * SECOND;

    /** On a machine of its own another leads within 3 s. */
    private static final long LEAD = 30 * SECOND;

    private static final long LEASE_MILLIS = 4_000;
    private static final int LOOK_MILLIS = 50;

    /** What a replica's operators' address says of what was agreed on. */
    private record Seen(
            boolean used, long number, int leader, boolean leads, long term, String voters) {}

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final List<ReplicaProcess> replicas = new ArrayList<>();
    private Path folder;
    private HistoryRecorder chronicle;

    @BeforeMethod
    public void start() throws Exception {
        folder = Files.createTempDirectory("fleet");
        chronicle = new HistoryRecorder(folder.resolve("world.jsonl"));
        HostEnvironment place = HostEnvironment.of(Path.of(""), folder, List.of(), 0, 0);
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new ReplicaProcess(i, place, chronicle));
        }
        String peers =
                replicas.stream()
                        .map(replica -> "\"" + text(replica.peers()) + "\"")
                        .collect(Collectors.joining(","));
        for (int i = 0; i < REPLICAS; i++) {
            replicas.get(i)
                    .configure(
                            """
                            {"name": "c%d", "listen": "%s", "discovery": "127.0.0.1:1", "seed": "%x",
                             "limits": {"sockets": 1024}, "peer_listen": "%s", "peers": [%s],
                             "known": {"version":1,"full":true,"servers":[]}, "settings": %s}
                            """
                                    .formatted(
                                            i,
                                            replicas.get(i).listenText(),
                                            77 + i,
                                            text(replicas.get(i).peers()),
                                            peers,
                                            ToySite.settings(REPLICAS, i)),
                            """
                            [membership]
                            [agreement]
                            lease_ms = %d
                            %s
                            [history]
                            file = "{history}"
                            """
                                    .formatted(
                                            LEASE_MILLIS,
                                            i == KEEPS ? "folder = \"{folder}\"" : ""));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (ReplicaProcess replica : replicas) {
            replica.close();
        }
        chronicle.close();
        replicas.clear();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String call(int replica, String method, String path) {
        try {
            HttpResponse<String> answer =
                    http.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + text(replicas.get(replica).admin())
                                                            + path))
                                    .timeout(Duration.ofSeconds(2))
                                    .method(method, HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return answer.statusCode() == 200 ? answer.body() : "";
        } catch (IOException e) {
            return ""; // stopped, or ended
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String field(String json, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":(\\[[^\\]]*]|[^,}]*)").matcher(json);
        return found.find() ? found.group(1) : "-1";
    }

    private Seen seen(int replica) {
        String json = call(replica, "GET", "/-/table");
        return new Seen(
                field(json, "used").equals("true"),
                Long.parseLong(field(json, "number")),
                Integer.parseInt(field(json, "leader")),
                field(json, "leads").equals("true"),
                Long.parseLong(field(json, "term")),
                field(json, "voters"));
    }

    private void await(String what, BooleanSupplier seen) throws Exception {
        long until = System.nanoTime() + PATIENCE;
        while (!seen.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < until,
                    what
                            + ": "
                            + IntStream.range(0, REPLICAS)
                                    .mapToObj(i -> call(i, "GET", "/-/table"))
                                    .toList()
                            + " in "
                            + folder);
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
    }

    /** All of these use one table, and one of them leads a term of at least that. */
    private int awaitOneTable(String when, long term, int... which) throws Exception {
        int[] leader = {-1};
        await(
                "one table " + when,
                () -> {
                    List<Seen> all = IntStream.of(which).mapToObj(this::seen).toList();
                    leader[0] =
                            IntStream.range(0, which.length)
                                    .filter(i -> all.get(i).leads && all.get(i).term >= term)
                                    .map(i -> which[i])
                                    .findFirst()
                                    .orElse(-1);
                    return leader[0] >= 0
                            && all.stream()
                                    .allMatch(
                                            each ->
                                                    each.used
                                                            && each.number > 0
                                                            && each.number == all.get(0).number);
                });
        return leader[0];
    }

    private void begin(int replica) throws Exception {
        Path log = replicas.get(replica).start();
        assertTrue(
                replicas.get(replica).awaitServing(log, System.nanoTime() + PATIENCE),
                "see " + log);
    }

    private static int[] without(int replica) {
        return IntStream.range(0, REPLICAS).filter(i -> i != replica).toArray();
    }

    private List<HistoryEvent> events() throws IOException {
        List<Path> files = new ArrayList<>(List.of(folder.resolve("world.jsonl")));
        replicas.forEach(replica -> files.addAll(replica.histories()));
        return History.read(files);
    }

    private long count(String what, int replica, String field, String value) throws IOException {
        return events().stream()
                .filter(
                        event ->
                                event.what().equals(what)
                                        && event.replica() == replica
                                        && event.text(field).equals(value))
                .count();
    }

    @Test
    public void theyAgreeThroughAKillAStopAndAnUpgrade() throws Exception {
        for (ReplicaProcess replica : replicas) {
            replica.start();
        }
        await(
                "all answer",
                () ->
                        IntStream.range(0, REPLICAS)
                                .allMatch(i -> !call(i, "GET", "/-/table").isEmpty()));
        assertEquals(call(0, "POST", "/-/group"), "done\n");
        int[] all = IntStream.range(0, REPLICAS).toArray();
        int first = awaitOneTable("after the group was formed", 1, all);
        await("five voters", () -> seen(first).voters.split(",").length == REPLICAS);

        // The leader is killed: another leads, the table stands, and the killed one comes back as a
        // learner.
        long term = seen(first).term;
        long number = seen(first).number;
        replicas.get(first).kill();
        replicas.get(first).awaitEnd(10_000);
        int second = awaitOneTable("after the leader was killed", term + 1, without(first));
        assertEquals(seen(second).number, number);
        begin(first);
        awaitOneTable("with the one that came back", term + 1, all);
        assertEquals(count("joins", first, "kept", "0"), first == KEEPS ? 1 : 2);

        // The one with a disk is killed and goes on with the life that it had.
        replicas.get(KEEPS).kill();
        replicas.get(KEEPS).awaitEnd(10_000);
        begin(KEEPS);
        awaitOneTable("with the one that has a disk", term + 1, all);
        assertTrue(count("joins", KEEPS, "kept", "1") >= 1, "it did not find its file");

        // A leader stands still for longer than the lease. What it finds over when it wakes is its
        // own.
        int third = awaitOneTable("before the stop", term + 1, all);
        long thirdTerm = seen(third).term;
        replicas.get(third).signal("STOP", "stopped", "");
        awaitOneTable("while the leader stands still", thirdTerm + 1, without(third));
        TimeUnit.MILLISECONDS.sleep(LEASE_MILLIS);
        replicas.get(third).signal("CONT", "", "continued");
        awaitOneTable("once it goes on", thirdTerm + 1, all);
        assertTrue(lapsedBeforeAllElse(third), "it used its table when it woke");

        // A replica is replaced by a new process, which takes up its file where it has one.
        int upgraded = KEEPS;
        begin(upgraded);
        replicas.get(upgraded).terminate();
        await("the new process takes part", () -> seen(upgraded).used);
        awaitOneTable("after the upgrade", 1, all);
        assertTrue(
                count("joins", upgraded, "kept", "1") >= 2,
                "the new process did not find the file");

        List<HistoryEvent> events = events();
        List<Violation> breaches =
                History.judged(
                        events,
                        System.nanoTime(),
                        List.of(
                                new SingleTable(SECOND),
                                new SingleLeader(),
                                new SingleSpeaker(),
                                new LeaseSafety(SECOND)));
        assertEquals(breaches, List.of(), "in " + folder);
        assertTrue(replicas.stream().allMatch(replica -> replica.crashes().isEmpty()));
        long after = leadsAfterTheKill(events);
        assertTrue(after < LEAD, "another leads after " + after / 1_000_000 + " ms");
    }

    /** The first that it says of its table after it went on is that the lease is over. */
    private boolean lapsedBeforeAllElse(int replica) throws IOException {
        List<HistoryEvent> its =
                events().stream().filter(event -> event.replica() == replica).toList();
        long stopped =
                its.stream()
                        .filter(event -> event.what().equals("stopped"))
                        .findFirst()
                        .orElseThrow()
                        .at();
        return its.stream()
                .filter(
                        event ->
                                event.at() > stopped
                                        && List.of("lapsed", "table", "loaded")
                                                .contains(event.what()))
                .findFirst()
                .orElseThrow()
                .what()
                .equals("lapsed");
    }

    private static long leadsAfterTheKill(List<HistoryEvent> events) {
        long from =
                events.stream()
                        .filter(event -> event.what().equals("doomed"))
                        .findFirst()
                        .orElseThrow()
                        .at();
        return events.stream()
                        .filter(event -> event.what().equals("leads") && event.at() > from)
                        .findFirst()
                        .orElseThrow()
                        .at()
                - from;
    }
}
