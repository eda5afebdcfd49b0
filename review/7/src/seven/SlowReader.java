package seven;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit.Client;
import kit.Discovery;
import kit.Http;
import kit.Kit;
import kit.Node;
import kit.Settings;

/** Clients read answers of 32 MB at 64 kB a second, without a pause. */
public final class SlowReader {
    private static final int SIZE = 32_000_000;
    private static final int BYTES_PER_S = 64_000;
    private static final int SECONDS = 40;
    private static final int CLIENTS = 4;
    private static final String HEAD = "HTTP/1.1 200";
    private static final AtomicInteger WELL = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();

    private SlowReader() {}

    public static void main(String[] arguments) throws Exception {
        Kit.open(arguments);
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            Node node = new Node("s-" + i, SlowReader::work);
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
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Kit.go(() -> read(proxy.port)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.finish(
                WELL.get() + CUT.get() == CLIENTS,
                "whole, or still coming after " + SECONDS + " s: " + WELL + ", cut off: " + CUT);
    }

    private static void read(int port) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(port)) {
            client.connect();
            client.socket.setSoTimeout(10_000);
            client.write(Client.request(id, "order", 2000, null, "two loaves"));
            InputStream in = client.socket.getInputStream();
            byte[] piece = new byte[BYTES_PER_S / 20];
            byte[] head = in.readNBytes(HEAD.length());
            if (!new String(head, StandardCharsets.ISO_8859_1).equals(HEAD)) {
                Kit.note("request " + id + " was not served");
                return;
            }
            double began = Kit.now();
            double next = began;
            double lastRead = began;
            double longestPause = 0;
            long read = 0;
            String end = "";
            while (end.isEmpty()) {
                int count;
                try {
                    count = in.read(piece);
                } catch (IOException e) {
                    count = -1;
                    end = e.toString();
                }
                longestPause = Math.max(longestPause, Kit.now() - lastRead);
                lastRead = Kit.now();
                read += Math.max(0, count);
                if (count < 0 && end.isEmpty()) {
                    end = "the end of the connection";
                } else if (read >= SIZE) {
                    end = "whole";
                } else if (Kit.now() - began > 1000 * SECONDS) {
                    end = "still coming";
                }
                if (Kit.TROUBLE && end.isEmpty()) {
                    next += 1000.0 * count / BYTES_PER_S;
                    Kit.sleep(next - Kit.now());
                }
            }
            String what =
                    "the answer to "
                            + id
                            + ": "
                            + end
                            + " after "
                            + read
                            + " bytes and "
                            + Math.round(Kit.now() - began)
                            + " ms; longest time between two reads "
                            + Math.round(longestPause)
                            + " ms";
            if (end.equals("whole") || end.equals("still coming")) {
                WELL.incrementAndGet();
                Kit.note(what);
            } else {
                CUT.incrementAndGet();
                Kit.breach(what);
            }
        }
    }

    private static void work(Http.Request request, Node.Connection connection) throws Exception {
        Kit.note("node: request " + request.id());
        Kit.sleep(50);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + SIZE + "\r\n\r\n");
        byte[] piece = new byte[16_000];
        int given = 0;
        try {
            for (; given < SIZE; given += piece.length) {
                connection.out.write(piece);
            }
        } catch (IOException e) {
            Kit.note("node: the proxy ended request " + request.id() + " after " + given + " bytes");
            throw e;
        }
        Kit.note("node: answered " + request.id());
    }
}
