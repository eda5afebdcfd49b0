package cedarrudder.forwarding;

/** Discovery, as the driver sees it. Results and failures are reported to the driver. */
public interface EndpointDiscovery {

    /** Opens the watch on changes, or ends it. */
    void subscribe(boolean on);

    /** Asks once for the whole list. */
    void fetch();
}
