package cedarrudder.lab.attack;

/**
 * The words of a site that requests need, and the texts of requests with places for them: {@code
 * {id}}, {@code {safe}}, {@code {unsafe}} and {@code {owner}}.
 *
 * @param safe a class of requests that are safe to repeat: {@code GET} without a body
 * @param unsafe a class of those that are not: {@code POST} without a key
 * @param owner a tenant
 */
public record RequestTemplates(String safe, String unsafe, String owner) {

    static final String HOST = "Host: service.internal";

    /** What makes a {@code GET} a request, with line ends. */
    static final String SAFE = request("{id}", "{safe}");

    /** What makes a {@code POST} a request, with line ends. */
    static final String UNSAFE = request("{id}", "{unsafe}");

    /** A request that stands where no server may see one. */
    static final String HIDDEN =
            "GET /hidden HTTP/1.1\r\n" + HOST + "\r\n" + request("{id}-hidden", "{safe}") + "\r\n";

    /** What the places are filled with. */
    public String fill(String text, String id) {
        return text.replace("{id}", id)
                .replace("{safe}", safe)
                .replace("{unsafe}", unsafe)
                .replace("{owner}", owner);
    }

    private static String request(String id, String kind) {
        return "Req-Id: "
                + id
                + "\r\nReq-Kind: "
                + kind
                + "\r\nReq-Owner: {owner}\r\nReq-Deadline-Ms: 2500\r\n";
    }

    /** A sound {@code GET} with further fields. */
    public static String get(String... fields) {
        return request("GET /api HTTP/1.1", HOST, SAFE, "", fields);
    }

    /** A sound {@code GET} whose id has this behind it. */
    static String getAs(String suffix, String... fields) {
        return request("GET /api HTTP/1.1", HOST, request("{id}" + suffix, "{safe}"), "", fields);
    }

    /** A {@code GET} with another first line, and all else sound. */
    static String line(String line) {
        return request(line, HOST, SAFE, "");
    }

    /** A {@code GET} with other lines for {@code Host}. */
    static String host(String... lines) {
        return request("GET /api HTTP/1.1", null, SAFE, "", lines);
    }

    /** A {@code POST} with this behind its head; where the body ends is for the fields to say. */
    static String post(String body, String... fields) {
        return request("POST /api HTTP/1.1", HOST, UNSAFE, body, fields);
    }

    /** A {@code POST} with a chunked body of these bytes. */
    static String chunked(String body, String... fields) {
        String[] all = new String[fields.length + 1];
        all[0] = "Transfer-Encoding: chunked";
        System.arraycopy(fields, 0, all, 1, fields.length);
        return post(body, all);
    }

    static String request(String line, String host, String request, String body, String... fields) {
        StringBuilder text = new StringBuilder(line).append("\r\n");
        if (host != null) {
            text.append(host).append("\r\n");
        }
        text.append(request);
        for (String field : fields) {
            text.append(field).append("\r\n");
        }
        return text.append("\r\n").append(body).toString();
    }
}
