package cedarrudder.program;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Endpoints that answer automatically; some send requests to the next tier as real ones do. */
final class TestEndpoints {

    private static final AtomicLong IDS = new AtomicLong();

    /** Serves a request on behalf of an endpoint. */
    interface RequestHandler {
        void serve(Received received) throws Exception;
    }

    private TestEndpoints() {}

    /**
     * Serves all requests to the endpoints of a test with this handler from now on, each request on
     * its own thread.
     */
    static void handleRequests(ProxyHarness harness, RequestHandler handler) {
        daemon(
                () -> {
                    while (true) {
                        Received received = harness.requests.take();
                        daemon(() -> handler.serve(received));
                    }
                });
    }

    /**
     * Answers discovery's requests for the full list, whose text need not end in a line feed;
     * watches are left unanswered.
     */
    static void serveFullList(ProxyHarness harness) {
        daemon(
                () -> {
                    while (true) {
                        Received lookup = harness.lookups.take();
                        if (!lookup.first().contains("follow")) {
                            lookup.reply(
                                    "200 OK",
                                    "{\"version\":2,\"full\":true,\"servers\":["
                                            + harness.entries("in_service")
                                            + "]}");
                        }
                    }
                });
    }

    /** A task that runs on its own thread. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a thread of its own, and returns that thread. */
    static Thread daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // the proxy gave up the request
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Sends the proxy at a port a new request modelled on this one, with these further header
     * fields.
     */
    static Received forward(int port, Received request, String... fields) throws IOException {
        try (Client client = new Client(port)) {
            String kind = request.field("Req-Kind");
            return client.send(
                            ProxyHarness.request(
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
     * Returns the fields that an endpoint copies from a request to the requests that it sends on
     * its behalf, or from the answer it received to its own answer.
     */
    static String[] copyFields(Received from, String... names) {
        List<String> fields = new ArrayList<>();
        for (String name : names) {
            if (from.field(name) != null) {
                fields.add(name + ": " + from.field(name));
            }
        }
        return fields.toArray(String[]::new);
    }

    /**
     * Returns a handler that sends the proxy at a port one request and copies all budget fields, or
     * none.
     */
    static RequestHandler relay(int port, boolean copiesFields) {
        return received ->
                pass(
                        received,
                        forward(
                                port,
                                received,
                                copiesFields
                                        ? copyFields(received, "Cedar-Budget", "Cedar-Path")
                                        : new String[0]),
                        copiesFields);
    }

    /** Answers as the next tier did: with success, or with an error. */
    static void pass(Received received, Received answer, boolean copiesFields) throws IOException {
        received.reply(
                answer.first().contains(" 200 ") ? "200 OK" : "500 Error",
                answer.body(),
                copiesFields ? copyFields(answer, "Cedar-Result") : new String[0]);
    }
}
