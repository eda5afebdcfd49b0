package cedarrudder.lab.cluster;

import cedarrudder.draining.DrainPolicy;
import cedarrudder.lab.attack.ScriptedNodes;
import cedarrudder.lab.attack.ScriptedNodes.Mood;
import cedarrudder.lab.attack.ToySite;
import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.operator.DrainsConfiguration;
import cedarrudder.operator.DrainsTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plays a script with real replicas: processes of the built daemon with a relay between each two,
 * nodes and a discovery behind them and clients in front. What they wrote is judged afterwards.
 */
public final class Cluster {

    private static final long READY = 120_000_000_000L;
    private static final long END_MILLIS = 10_000;
    private static final long END_OF_NODE_MILLIS = 3_000;

    private final Script script;
    private final HostEnvironment place;
    private final HistoryRecorder chronicle;
    private final ScriptedNodes nodes;
    private final Mood[] moods;
    private final long[] starts;
    private final List<DiscoveryStub> discoveries = new ArrayList<>();
    private final List<ReplicaProcess> replicas = new ArrayList<>();
    private final Relay relay;
    private final ExecutorService beside =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "cluster");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final List<Future<?>> begun = new ArrayList<>();
    private final List<String> refusals = new CopyOnWriteArrayList<>();
    private final Set<Integer> unlisted = ConcurrentHashMap.newKeySet();
    private long version = 1;

    private Cluster(Script script, long seed, HostEnvironment place)
            throws IOException, InterruptedException {
        this.script = script;
        this.place = place;
        chronicle = new HistoryRecorder(place.folder().resolve("world.jsonl"));
        moods = new Mood[script.nodes()];
        starts = new long[script.nodes()];
        for (int i = 0; i < script.replicas(); i++) {
            replicas.add(new ReplicaProcess(i, place, chronicle));
        }
        nodes =
                new ScriptedNodes(
                        script.nodes(),
                        replicas.stream().map(replica -> replica.peers().getAddress()).toList(),
                        new NodeWords());
        for (int i = 0; i < script.replicas(); i++) {
            discoveries.add(new DiscoveryStub(list(i)));
            chronicle.tell(i, 0, "placed", Map.of("zone", Integer.toString(script.zone(i))));
        }
        mood(IntStream.range(0, script.nodes()).boxed().toList(), Mood.WELL);
        relay = new Relay(replicas.stream().map(ReplicaProcess::peers).toList(), seed);
        for (int i = 0; i < replicas.size(); i++) {
            replicas.get(i).configure(configuration(i, seed), operator(i));
        }
    }

    /** Says what comes to nodes. */
    private final class NodeWords implements ScriptedNodes.Witness {
        @Override
        public void reached(int node, int proxy, String id) {
            chronicle.tell(proxy, 0, "reached", Map.of("node", name(node), "rpc", id));
        }

        @Override
        public void served(int node, int proxy, String id) {
            chronicle.tell(proxy, 0, "served", Map.of("node", name(node), "rpc", id));
        }
    }

    /** As replicas call a node in their histories. */
    private static String name(int node) {
        return Long.toString(EndpointListParser.hash("node-" + node));
    }

    /** The list of nodes as a replica's discovery tells it. */
    private String list(int replica) {
        List<InetSocketAddress> addresses = nodes.addresses(replica);
        return "{\"version\":"
                + version
                + ",\"full\":true,\"servers\":["
                + IntStream.range(0, script.nodes())
                        .filter(node -> !unlisted.contains(node))
                        .mapToObj(
                                node ->
                                        ToySite.server(
                                                "node-" + node,
                                                addresses.get(node),
                                                Script.zoneName(script.zone(node)),
                                                starts[node]))
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** From now on these do so, to all replicas; those that start anew are told of. */
    private synchronized void mood(List<Integer> which, Mood mood) {
        for (int node : which) {
            if (mood == moods[node]) {
                continue;
            }
            moods[node] = mood;
            nodes.mood(node, mood);
            chronicle.tell(
                    HistoryRecorder.NOBODY,
                    0,
                    "node",
                    Map.of(
                            "node",
                            name(node),
                            "zone",
                            Integer.toString(script.zone(node)),
                            "mood",
                            ConfigTable.written(mood)));
            starts[node] = mood == Mood.COLD ? System.currentTimeMillis() : starts[node];
        }
        if (mood == Mood.COLD) {
            version++;
            for (int replica = 0; replica < discoveries.size(); replica++) {
                discoveries.get(replica).list(list(replica));
            }
        }
    }

    /**
     * Plays a run to its end and ends all processes that it started.
     *
     * @throws IOException if something can't be started or written
     * @throws InterruptedException if the calling thread is interrupted; the run is given up
     */
    public static Verdict play(Script script, long seed, HostEnvironment place)
            throws IOException, InterruptedException {
        Cluster cluster = new Cluster(script, seed, place);
        try {
            return cluster.play();
        } finally {
            cluster.close();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String configuration(int self, long seed) {
        ReplicaProcess replica = replicas.get(self);
        String peers =
                IntStream.range(0, replicas.size())
                        .mapToObj(
                                i ->
                                        "\""
                                                + text(
                                                        i == self
                                                                ? replica.peers()
                                                                : relay.address(self, i))
                                                + "\"")
                        .collect(Collectors.joining(","));
        return """
        {"name": "c%d", "listen": "%s", "discovery": "%s",
         "seed": "%x", "limits": {"sockets": 1024}, "peer_listen": "%s", "peers": [%s],
         "known": %s, "settings": %s}
        """
                .formatted(
                        self,
                        replica.listenText(),
                        text(discoveries.get(self).address()),
                        seed * Script.MAX + self,
                        text(replica.peers()),
                        peers,
                        list(self),
                        ToySite.settings(
                                replicas.size(),
                                self,
                                script.zone(self),
                                IntStream.range(0, script.zones())
                                        .mapToObj(Script::zoneName)
                                        .toList()));
    }

    /** Acknowledgements keep their share of the period, whatever it is. */
    private String operator(int self) {
        long period = script.period() / 1_000_000;
        return """
        [membership]
        period_ms = %d
        ack_patience_ms = %d

        [history]
        file = "{history}"
        clock_offset_ms = %d
        clock_drift_ppm = %d

        """
                        .formatted(
                                period,
                                period * 2 / 5,
                                script.clockOffset(self),
                                script.clockDrift(self))
                + script.operator();
    }

    private Verdict play() throws IOException, InterruptedException {
        chronicle.tell(HistoryRecorder.NOBODY, 0, "weather", Map.of("calm", "1"));
        for (DrainPolicy policy : bounds()) {
            chronicle.tell(
                    HistoryRecorder.NOBODY,
                    0,
                    "bound",
                    Map.of(
                            "name",
                            policy.name(),
                            "nodes",
                            IntStream.range(0, script.nodes())
                                    .mapToObj(Cluster::name)
                                    .collect(Collectors.joining(",")),
                            "most",
                            Integer.toString(policy.maxPerTier().maxOf(script.nodes()))));
        }
        List<Path> logs = new ArrayList<>();
        for (ReplicaProcess replica : replicas) {
            logs.add(replica.start());
        }
        long readyBy = System.nanoTime() + READY;
        for (int i = 0; i < logs.size(); i++) {
            if (!replicas.get(i).awaitServing(logs.get(i), readyBy)) {
                throw new IOException("copy " + i + " does not serve; its log is " + logs.get(i));
            }
        }
        long until;
        TestClients callers =
                new TestClients(replicas.stream().map(ReplicaProcess::address).toList(), chronicle);
        try {
            long begins = System.nanoTime();
            for (ScriptStep step : script.steps()) {
                TimeUnit.NANOSECONDS.sleep(begins + step.at() - System.nanoTime());
                take(step);
            }
            TimeUnit.NANOSECONDS.sleep(begins + script.length() - System.nanoTime());
            mend();
            chronicle.tell(HistoryRecorder.NOBODY, 0, "over", Map.of());
            TimeUnit.NANOSECONDS.sleep(script.settle());
            until = System.nanoTime();
        } finally {
            callers.end();
        }
        List<String> found = new ArrayList<>(refusals);
        replicas.forEach(replica -> found.addAll(replica.crashes()));
        end();
        chronicle.close();
        return Verdict.of(events(until), until, script.period(), script.settle(), found);
    }

    /** What all wrote until then; a rule is told of nothing that came of the end. */
    private List<HistoryEvent> events(long until) throws IOException {
        List<Path> files = new ArrayList<>(List.of(place.folder().resolve("world.jsonl")));
        replicas.forEach(replica -> files.addAll(replica.histories()));
        return History.read(files).stream().filter(event -> event.at() <= until).toList();
    }

    private void take(ScriptStep step) throws IOException, InterruptedException {
        List<Integer> whom = step.leader() ? leader() : step.replicas();
        for (int number : whom) {
            ReplicaProcess replica = replicas.get(number);
            switch (step.act()) {
                case KILL -> replica.kill();
                case BACK -> back(replica);
                case STOP -> replica.signal("STOP", "stopped", "");
                case GO_ON -> replica.signal("CONT", "", "continued");
                case TERM -> replica.terminate();
                case HANG_UP -> replica.signal("HUP", "", "");
                case UPGRADE, UPGRADE_APART ->
                        begun.add(
                                beside.submit(
                                        () -> {
                                            upgrade(replica, step.act() == ScriptAction.UPGRADE);
                                            return null;
                                        }));
                case CALL ->
                        begun.add(
                                beside.submit(
                                        () -> {
                                            String wrong = step.call().ask(replica.admin());
                                            if (!wrong.isEmpty()) {
                                                refusals.add("copy " + number + ", " + wrong);
                                            }
                                            return null;
                                        }));
                case FLOOD ->
                        begun.add(
                                beside.submit(
                                        () -> {
                                            flood(number, step.length());
                                            return null;
                                        }));
                default -> {}
            }
        }
        switch (step.act()) {
            case REMOVE, REMOVE_BY_HAND ->
                    begun.add(
                            beside.submit(
                                    () -> {
                                        remove(step);
                                        return null;
                                    }));
            case CUT -> {
                cut(whom, step.sides().others(), true, true);
                cutNodes(whom, step.sides());
            }
            case MUTE -> cut(whom, step.sides().others(), true, false);
            case DEAFEN -> cut(whom, step.sides().others(), false, true);
            case HEAL -> heal();
            case WEATHER -> weather(step.weather());
            case NODES -> {
                if (step.replicas().isEmpty()) {
                    mood(step.nodes(), step.mood());
                } else {
                    step.nodes()
                            .forEach(
                                    node ->
                                            step.replicas()
                                                    .forEach(
                                                            replica ->
                                                                    nodes.mood(
                                                                            node,
                                                                            replica,
                                                                            step.mood())));
                }
            }
            default -> {}
        }
    }

    /** The replica that last said that it leads; none where none did. */
    private List<Integer> leader() throws IOException {
        List<Path> files = new ArrayList<>();
        replicas.forEach(replica -> files.addAll(replica.histories()));
        return History.read(files).stream()
                .filter(event -> event.what().equals("leads"))
                .reduce((first, second) -> second)
                .map(HistoryEvent::replica)
                .stream()
                .toList();
    }

    private void remove(ScriptStep step) throws InterruptedException {
        OperatorRemoval removal =
                new OperatorRemoval(
                        replicas.stream().map(ReplicaProcess::admin).toList(), this::unlist);
        long began = System.nanoTime();
        if (step.act() == ScriptAction.REMOVE) {
            removal.byDrains(step.nodes(), step.replicas());
        } else {
            removal.byHand(
                    step.nodes(),
                    step.replicas(),
                    atOnce(),
                    bounds().stream().mapToLong(DrainPolicy::minWaveInterval).max().orElse(0)
                            / 1_000_000);
        }
        chronicle.tell(
                HistoryRecorder.NOBODY,
                0,
                "removed",
                Map.of(
                        "nodes",
                        Integer.toString(step.nodes().size()),
                        "took",
                        Long.toString(System.nanoTime() - began)));
    }

    /** As many as the policies of the script let go at once. */
    private int atOnce() {
        return bounds().stream()
                .mapToInt(policy -> policy.maxPerTier().maxOf(script.nodes()))
                .min()
                .orElse(1);
    }

    private List<DrainPolicy> bounds() {
        try {
            DrainsConfiguration file =
                    OperatorFile.read(
                                    ConfigDocument.parse(
                                            "operator",
                                            script.operator() + ScriptReader.MEMBERSHIP))
                            .of(DrainsTable.DRAINS);
            return file == null ? List.of() : file.policies();
        } catch (InvalidFileException e) {
            throw new IllegalStateException("the script was read with it", e);
        }
    }

    /** A node leaves the list of all replicas, and ends a moment later. */
    private synchronized void unlist(int node) {
        unlisted.add(node);
        version++;
        for (int replica = 0; replica < discoveries.size(); replica++) {
            discoveries.get(replica).list(list(replica));
        }
        beside.submit(
                () -> {
                    TimeUnit.MILLISECONDS.sleep(END_OF_NODE_MILLIS);
                    nodes.mood(node, Mood.DEAD);
                    return null;
                });
    }

    private static void back(ReplicaProcess replica) throws IOException, InterruptedException {
        if (replica.ends()) {
            replica.awaitEnd(END_MILLIS);
        }
        if (!replica.runs()) {
            replica.start();
        }
    }

    private static void upgrade(ReplicaProcess replica, boolean together)
            throws IOException, InterruptedException {
        if (replica.runs()
                && replica.awaitServing(
                        together ? replica.start() : replica.startApart(),
                        System.nanoTime() + READY)) {
            replica.terminate();
        }
    }

    private void flood(int replica, long length) throws InterruptedException {
        chronicle.tell(replica, 0, "flooded", Map.of());
        relay.flood(replica, System.nanoTime() + length);
        TimeUnit.NANOSECONDS.sleep(length);
        chronicle.tell(replica, 0, "drained", Map.of());
    }

    private void weather(NetworkConditions next) {
        relay.weather(next);
        chronicle.tell(
                HistoryRecorder.NOBODY,
                0,
                "weather",
                Map.of("calm", next.calm() ? "1" : "0", "loss", Double.toString(next.loss())));
    }

    /**
     * Cuts what goes out from these to others, or where none are named to all, what comes in, or
     * both.
     */
    private void cut(List<Integer> these, List<Integer> others, boolean out, boolean in) {
        for (int one : these) {
            for (int other = 0; other < replicas.size(); other++) {
                if (!these.contains(other) && (others.isEmpty() || others.contains(other))) {
                    cut(one, other, out);
                    cut(other, one, in);
                }
            }
        }
    }

    private void cut(int from, int to, boolean cut) {
        if (cut) {
            relay.cut(from, to, true);
            chronicle.tell(from, 0, "cut", Map.of("to", Integer.toString(to)));
        }
    }

    /** Cuts what goes between replicas of one side and nodes of the other. */
    private void cutNodes(List<Integer> these, NetworkPartition sides) {
        for (int replica = 0; replica < replicas.size(); replica++) {
            boolean here = these.contains(replica);
            boolean there = !here && (sides.others().isEmpty() || sides.others().contains(replica));
            for (int node :
                    here ? sides.otherNodes() : there ? sides.nodes() : List.<Integer>of()) {
                nodes.cut(node, replica, true);
            }
        }
    }

    private void heal() {
        for (int replica = 0; replica < replicas.size(); replica++) {
            for (int node = 0; node < script.nodes(); node++) {
                nodes.cut(node, replica, false);
            }
        }
        for (int from = 0; from < replicas.size(); from++) {
            for (int to = 0; to < replicas.size(); to++) {
                if (from != to) {
                    relay.cut(from, to, false);
                    chronicle.tell(from, 0, "healed", Map.of("to", Integer.toString(to)));
                }
            }
        }
    }

    /** Ends what the script has left of its faults. */
    private void mend() throws IOException, InterruptedException {
        for (Future<?> each : begun) {
            try {
                each.get();
            } catch (ExecutionException e) {
                throw new IOException("a step failed: " + e.getCause().getMessage(), e.getCause());
            }
        }
        heal();
        weather(NetworkConditions.CALM);
        for (int i = 0; i < script.nodes(); i++) {
            if (!unlisted.contains(i)) {
                nodes.mood(i, Mood.WELL); // also to those replicas to which alone it did otherwise
                mood(List.of(i), Mood.WELL);
            }
        }
        for (ReplicaProcess replica : replicas) {
            replica.signal("CONT", "", "continued");
            back(replica);
        }
    }

    private void end() throws InterruptedException {
        replicas.forEach(ReplicaProcess::kill);
        for (ReplicaProcess replica : replicas) {
            replica.awaitEnd(END_MILLIS);
        }
    }

    private void close() throws IOException, InterruptedException {
        end();
        beside.shutdownNow();
        relay.end();
        for (ReplicaProcess replica : replicas) {
            replica.close();
        }
        for (DiscoveryStub discovery : discoveries) {
            discovery.close();
        }
        nodes.close();
        chronicle.close();
    }
}
