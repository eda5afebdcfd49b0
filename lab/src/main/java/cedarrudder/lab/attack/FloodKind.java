package cedarrudder.lab.attack;

/** What the connections of a flood say; each is held until the other side ends it. */
public enum FloodKind {
    /** Nobody floods: what the good clients get without. */
    NONE(null),
    /** Nothing. */
    SILENT(""),
    /** Half a head. */
    HALF("POST /api HTTP/1.1\r\n" + RequestTemplates.HOST + "\r\nReq-"),
    /** What can't become a request. */
    JUNK("\u0016\u0003\u0001\u0002\0\u0001\0\u0001\u00fc\u0003\u0003"),
    /** Whole requests that are refused. */
    REFUSED("GET /api HTTP/1.1\r\n\r\n");

    private final String text;

    FloodKind(String text) {
        this.text = text;
    }

    /** What each connection says, Latin-1; null where there are none. */
    String text() {
        return text;
    }
}
