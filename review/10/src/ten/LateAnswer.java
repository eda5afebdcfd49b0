package ten;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit.Client;
import kit.Discovery;
import kit.Http;
import kit.Kit;
import kit.Node;
import kit.Settings;

/** Slow nodes give short answers without a length at 64 kB a second, just before the time is over. */
public final class LateAnswer {
    private static final int SIZE = 60_000;
    private static final int DEADLINE = 1250;
    private static final int REQUESTS = 8;
    private static final AtomicInteger ENDED = new AtomicInteger();

    private LateAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Kit.open(arguments);
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            Node node = new Node("s-" + i, LateAnswer::work);
            discovery.set(node.id, node.port, 0, "in_service", 0);
        }
        Kit.Proxy proxy = new Kit.Proxy("p1");
        proxy.configure(Settings.small(), discovery.port, discovery.list(), 192, 1024);
        proxy.start(discovery.port, 0);
        if (!proxy.awaitReady(30)) {
            Kit.finish(false, "the proxy did not get ready");
        }
        Kit.sleep(1000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(Kit.go(() -> ask(proxy.port)));
            Kit.sleep(300);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.finish(ENDED.get() == REQUESTS, "requests that ended " + ENDED);
    }

    private static void ask(int port) {
        String id = Client.newId();
        try (Client client = new Client(port)) {
            double sentAt = Kit.now();
            Http.Answer answer = client.ask(id, "order", DEADLINE, null, "two loaves", 3000);
            double late = answer.at - sentAt - DEADLINE;
            Kit.note(
                    "client: "
                            + id
                            + " status "
                            + answer.status
                            + ", "
                            + answer.body.length
                            + " bytes, "
                            + answer.problem
                            + " "
                            + Math.round(late)
                            + " ms after its time");
            ENDED.incrementAndGet();
            if (answer.status != 0 && late > 550) {
                Kit.breach(
                        "the last byte of the answer to "
                                + id
                                + " came "
                                + Math.round(late)
                                + " ms after its time");
            }
        }
    }

    private static void work(Http.Request request, Node.Connection connection) throws Exception {
        Kit.sleep(Kit.TROUBLE ? 1150 : 100);
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        for (int given = 0; given < SIZE; given += 1_600) {
            connection.write("x".repeat(Math.min(1_600, SIZE - given)));
            Kit.sleep(25);
        }
        connection.socket.close();
    }
}
