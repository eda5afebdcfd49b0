package kit;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of discovery: the whole list, and watches, as the protocol page describes them. */
public final class Discovery {
    public final int port;
    private final ServerSocket socket;
    private final Map<String, String> servers = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private int version = 1;
    private volatile boolean down;

    public Discovery() throws IOException {
        socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        Kit.go(
                () -> {
                    while (true) {
                        Socket caller = socket.accept();
                        caller.setTcpNoDelay(true);
                        Kit.go(() -> serve(caller));
                    }
                });
    }

    /** Takes discovery down, which ends all watches and resets all calls, or brings it back. */
    public void setDown(boolean isDown) throws IOException {
        Kit.note("discovery is " + (isDown ? "down" : "back"));
        down = isDown;
        if (isDown) {
            for (Socket caller : open) {
                caller.setSoLinger(true, 0);
                caller.close();
            }
        }
    }

    private static String entry(
            String id, int port, String kind, int cell, String state, long started) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"room\",\"kind\":\""
                + kind
                + "\",\"cell\":"
                + cell
                + ",\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":"
                + started
                + "}";
    }

    /** Sets the entry of a node, which is a change that watches tell. */
    public synchronized void set(String id, int nodePort, int cell, String state, long started) {
        String text = entry(id, nodePort, "standard", cell, state, started);
        version++;
        if (state.equals("terminated")) {
            servers.remove(id);
        } else {
            servers.put(id, text);
        }
        changes.add(text);
        Kit.note("discovery, version " + version + ": " + id + " " + state);
        notifyAll();
    }

    /** Returns the whole list. */
    public synchronized String list() {
        return "{\"version\":"
                + version
                + ",\"full\":true,\"servers\":["
                + String.join(",", servers.values())
                + "]}";
    }

    private void serve(Socket caller) throws IOException {
        try (caller) {
            open.add(caller);
            while (true) {
                Http.Request request = Http.readRequest(caller.getInputStream());
                if (request == null) {
                    return;
                }
                if (down) {
                    Kit.note("discovery resets a call: " + request.target);
                    caller.setSoLinger(true, 0);
                    return;
                }
                if (request.target.contains("follow=1")) {
                    watch(caller.getOutputStream(), request.target);
                } else {
                    byte[] body = list().getBytes(StandardCharsets.UTF_8);
                    write(
                            caller.getOutputStream(),
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + body.length
                                    + "\r\n\r\n"
                                    + list());
                }
            }
        } finally {
            open.remove(caller);
        }
    }

    private void watch(OutputStream out, String target) throws IOException {
        Kit.note("discovery: " + target);
        write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int told;
        String first;
        synchronized (this) {
            told = changes.size();
            first = list();
        }
        chunk(out, first + "\n");
        while (true) {
            String next = "\n";
            synchronized (this) {
                if (told == changes.size()) {
                    try {
                        wait(2000);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (told < changes.size()) {
                    next =
                            "{\"version\":"
                                    + version
                                    + ",\"full\":false,\"servers\":["
                                    + String.join(",", changes.subList(told, changes.size()))
                                    + "]}\n";
                    told = changes.size();
                }
            }
            chunk(out, next);
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
