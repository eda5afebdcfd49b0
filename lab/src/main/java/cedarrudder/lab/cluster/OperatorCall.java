package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.Answer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * What an operator asks a replica.
 *
 * @param method such as {@code POST}
 * @param path with what is behind it
 * @param body of ASCII; empty: none
 * @param status that the answer has to have
 */
record OperatorCall(String method, String path, String body, int status) {

    private static final int PATIENCE_MILLIS = 10_000;

    /** Asks; gives what is wrong with the answer, empty where nothing is. */
    String ask(InetSocketAddress address) {
        String found;
        try {
            Answer answer = answer(address, PATIENCE_MILLIS);
            if (answer != null && answer.status() == status) {
                return "";
            }
            found = answer == null ? "no answer" : "status " + answer.status();
        } catch (IOException e) {
            found = "no answer: " + e.getMessage();
        }
        return method + " " + path + ": found " + found + "; expected: status " + status;
    }

    /** Asks; null where the connection ends without an answer. */
    Answer answer(InetSocketAddress address, int patience) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, patience);
            socket.setSoTimeout(patience);
            socket.getOutputStream()
                    .write(
                            (method
                                            + " "
                                            + path
                                            + " HTTP/1.1\r\nHost: operators\r\n"
                                            + "Content-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return Answer.read(socket.getInputStream(), false);
        }
    }
}
