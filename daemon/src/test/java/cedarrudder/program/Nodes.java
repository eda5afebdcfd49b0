package cedarrudder.program;

import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Endpoints that answer by themselves, some by calling the next tier as real ones do. */
final class Nodes {

    private static final AtomicLong IDS = new AtomicLong();

    /** What an endpoint does with a call. */
    interface Node {
        void serve(Received call) throws Exception;
    }

    private Nodes() {}

    /** All endpoints of a world do this from now on, each call on a thread of its own. */
    static void play(World world, Node node) {
        daemon(
                () -> {
                    while (true) {
                        Received call = world.calls.take();
                        daemon(() -> node.serve(call));
                    }
                });
    }

    /**
     * Discovery answers calls for the whole list, which need not end in a line feed; watches wait.
     */
    static void list(World world) {
        daemon(
                () -> {
                    while (true) {
                        Received lookup = world.lookups.take();
                        if (!lookup.first().contains("follow")) {
                            lookup.reply(
                                    "200 OK",
                                    "{\"version\":2,\"full\":true,\"servers\":["
                                            + world.entries("in_service")
                                            + "]}");
                        }
                    }
                });
    }

    /** What runs on a thread of its own. */
    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // the proxy gave the call up
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Calls the proxy at a port for a request, as a new one with these further fields. */
    static Received call(int port, Received request, String... fields) throws IOException {
        try (Caller caller = new Caller(port)) {
            String kind = request.field("Req-Kind");
            return caller.send(
                            World.request(
                                            kind,
                                            "/api",
                                            kind.equals("lookup") ? "" : request.body(),
                                            fields)
                                    .replace("id-1", "id-" + IDS.incrementAndGet())
                                    .replace("30000", request.field("Req-Deadline-Ms")))
                    .read();
        }
    }

    /**
     * What an endpoint replicas to the calls that it makes for a request, or to its answer, of the
     * answer it got.
     */
    static String[] copied(Received from, String... names) {
        List<String> fields = new ArrayList<>();
        for (String name : names) {
            if (from.field(name) != null) {
                fields.add(name + ": " + from.field(name));
            }
        }
        return fields.toArray(String[]::new);
    }

    /** An endpoint that calls a proxy once and replicas all fields of budgets, or none. */
    static Node relay(int port, boolean copies) {
        return call ->
                pass(
                        call,
                        call(
                                port,
                                call,
                                copies
                                        ? copied(call, "Cedar-Budget", "Cedar-Path")
                                        : new String[0]),
                        copies);
    }

    /** Answers as the next tier did: served, or an error. */
    static void pass(Received call, Received answer, boolean copies) throws IOException {
        call.reply(
                answer.first().contains(" 200 ") ? "200 OK" : "500 Error",
                answer.body(),
                copies ? copied(answer, "Cedar-Result") : new String[0]);
    }
}
