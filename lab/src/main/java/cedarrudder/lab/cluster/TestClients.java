package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.Answer;
import cedarrudder.lab.attack.OwnDaemon;
import cedarrudder.lab.attack.RequestTemplates;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One client for each replica, which asks it each so often on a connection of its own and reads to
 * that connection's end: a second answer would be seen. All goes into the chronicle.
 */
final class TestClients {

    private static final long EACH_MILLIS = 200;

    /** Longer than any replica may take: the deadline of a request is 2.5 s. */
    static final int PATIENCE_MILLIS = 5_000;

    private final HistoryRecorder chronicle;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    TestClients(List<InetSocketAddress> replicas, HistoryRecorder chronicle) {
        this.chronicle = chronicle;
        for (int i = 0; i < replicas.size(); i++) {
            int replica = i;
            Thread thread =
                    new Thread(() -> call(replica, replicas.get(replica)), "caller-" + replica);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void call(int replica, InetSocketAddress to) {
        for (int i = 0; !over; i++) {
            ask(replica, to, "c" + replica + "-" + i);
            try {
                TimeUnit.MILLISECONDS.sleep(EACH_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void ask(int replica, InetSocketAddress to, String requestId) {
        boolean asked = false;
        boolean answered = false;
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.connect(to, PATIENCE_MILLIS);
            byte[] request =
                    OwnDaemon.WORDS
                            .fill(RequestTemplates.get("Connection: close"), requestId)
                            .getBytes(StandardCharsets.ISO_8859_1);
            // Before it is sent: this avoids an answer that is told before its question.
            tell(replica, requestId, "asked", Map.of());
            asked = true;
            socket.getOutputStream().write(request);
            InputStream in = socket.getInputStream();
            for (Answer answer = Answer.read(in, false);
                    answer != null;
                    answer = Answer.read(in, false)) {
                tell(
                        replica,
                        requestId,
                        "answered",
                        Map.of("status", Integer.toString(answer.status())));
                answered = true;
            }
            if (!answered) {
                tell(replica, requestId, "broke", Map.of("why", "closed"));
            }
        } catch (SocketTimeoutException e) {
            broke(replica, requestId, asked && !answered, "nothing came in time");
        } catch (IOException e) {
            broke(replica, requestId, asked && !answered, String.valueOf(e.getMessage()));
        }
    }

    private void broke(int replica, String requestId, boolean owed, String why) {
        if (owed) {
            tell(replica, requestId, "broke", Map.of("why", why));
        }
    }

    private void tell(int replica, String requestId, String what, Map<String, String> fields) {
        Map<String, String> all = new HashMap<>(fields);
        all.put("rpc", requestId);
        chronicle.tell(replica, 0, what, all);
    }

    /** Lets each have the answer that it waits for, and ends. */
    void end() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(2L * PATIENCE_MILLIS);
        }
    }
}
