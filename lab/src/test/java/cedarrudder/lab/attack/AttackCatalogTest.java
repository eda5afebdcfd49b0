package cedarrudder.lab.attack;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** The library, and the judge: servers broken on purpose must be found out. */
public class AttackCatalogTest {

    private static final RequestTemplates WORDS = new RequestTemplates("lookup", "order", "acme");

    @Test
    public void namesAreAnybodysOwnAndThePageHasThemAll() throws IOException {
        String page = Files.readString(Path.of("docs", "ATTACKS.md"));
        Set<String> names = new HashSet<>();
        for (Attack attack : AttackCatalog.all()) {
            assertTrue(names.add(attack.name()), attack.name());
            assertTrue(
                    page.contains("| `" + attack.name() + "` |"),
                    attack.name() + " is not on the page");
        }
        assertEquals(
                AttackCatalog.named(List.of("connect", "framing")).size(),
                1 + AttackCatalog.all().stream().filter(a -> a.group() == Group.FRAMING).count());
        expectThrows(IllegalArgumentException.class, () -> AttackCatalog.named(List.of("no-such")));
    }

    /** What a server that always says this gets from the judge. */
    private static List<String> judged(String attack, String answer, boolean closes)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket socket = server.accept();
                                        while (socket.getInputStream().read() >= 0
                                                && answer != null) {
                                            socket.getInputStream()
                                                    .skipNBytes(
                                                            socket.getInputStream().available());
                                            socket.getOutputStream()
                                                    .write(
                                                            answer.getBytes(
                                                                    StandardCharsets.ISO_8859_1));
                                            if (closes) {
                                                socket.shutdownOutput();
                                            }
                                        }
                                    }
                                } catch (IOException e) {
                                    // the test is over
                                }
                            });
            thread.setDaemon(true);
            thread.start();
            var to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            try (Player player = Player.against(to, WORDS)) {
                return player.play(AttackCatalog.named(List.of(attack)), "t", null).get(0).wrongs();
            }
        }
    }

    @Test
    public void theJudgeFindsOutWhatIsNotOwed() throws Exception {
        String refused =
                "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        String served = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assertEquals(judged("two-hosts", refused, true), List.of());
        assertEquals(judged("two-hosts", served, true), List.of("200 is not owed"));
        assertEquals(judged("two-hosts", refused, false), List.of("not closed"));
        assertEquals(
                judged("two-hosts", null, false),
                List.of("1 answers are owed", "not closed", "late"));
        assertEquals(
                judged("two-hosts", "HTTP/1.1 400 Bad\r\nContent-Length: 9\r\n\r\n", true).get(0),
                "an answer was cut in its body");
        assertEquals(
                judged("two-hosts", "HTTP/1.1 400 Bad\nContent-Length: 0\r\n\r\n", true).get(0),
                "no status line: HTTP/1.1 400 Bad\nContent-Length: 0");
        assertEquals(
                judged("two-hosts", refused + "x", true),
                List.of("more bytes behind the last answer", "not closed"));
        assertEquals(judged("chunked", refused, true), List.of("400 is not owed", "closed"));
        assertEquals(
                judged("chunked", served, false),
                List.of("out of step: a sound request behind it got no answer of its own"));
    }
}
