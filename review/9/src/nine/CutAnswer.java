package nine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit.Client;
import kit.Discovery;
import kit.Http;
import kit.Kit;
import kit.Node;
import kit.Settings;

/** A proxy is told to end while it passes on long answers, which nodes go on to give. */
public final class CutAnswer {
    private static final int SIZE = 2_560_000;
    private static final int PIECE = 32_000;
    private static final int PIECE_MS = 100;
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CUT_BY_PROXY = new AtomicInteger();

    private CutAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Kit.open(arguments);
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            Node node = new Node("s-" + i, CutAnswer::work);
            discovery.set(node.id, node.port, 0, "in_service", 0);
        }
        Kit.Proxy proxy = new Kit.Proxy("p1");
        proxy.configure(Settings.small(), discovery.port, discovery.list(), 192, 1024);
        Process process = proxy.start(discovery.port, 0);
        if (!proxy.awaitReady(30)) {
            Kit.finish(false, "the proxy did not get ready");
        }
        Kit.sleep(1000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(Kit.go(() -> ask(proxy.port)));
        }
        Kit.sleep(1000);
        if (Kit.TROUBLE) {
            proxy.signal(process, "TERM"); // SIGKILL comes 20 s later, if the process runs then
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.finish(
                WHOLE.get() + CUT_BY_PROXY.get() == 6,
                "whole " + WHOLE + ", cut by the proxy " + CUT_BY_PROXY);
    }

    private static void ask(int port) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(port)) {
            Http.Answer answer = client.ask(id, "order", 2000, null, "two loaves", 15_000);
            if (answer.status == 200 && answer.body.length == SIZE) {
                WHOLE.incrementAndGet();
                Kit.note("client: the answer to " + id + " is whole");
            } else if (answer.status != 0 && answer.status != 200) {
                Kit.note("request " + id + " was answered " + answer.status);
            } else {
                CUT_BY_PROXY.incrementAndGet();
                Kit.breach("the answer to " + id + " was not whole: " + answer.problem);
            }
        }
    }

    private static void work(Http.Request request, Node.Connection connection) throws Exception {
        Kit.note("node: request " + request.id());
        Kit.sleep(50);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + SIZE + "\r\n\r\n");
        byte[] piece = new byte[PIECE];
        java.util.Arrays.fill(piece, (byte) 'x');
        int given = 0;
        try {
            for (; given < SIZE; given += PIECE) {
                connection.out.write(piece);
                Kit.sleep(PIECE_MS);
            }
        } catch (IOException e) {
            Kit.note("node: the proxy ended request " + request.id() + " after " + given + " bytes");
            throw e;
        }
        Kit.note("node: answered " + request.id());
    }
}
