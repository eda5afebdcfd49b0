package cedarrudder.program;

import cedarrudder.protocol.Addresses;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The configuration of one proxy.
 *
 * @param admin the address at which operators connect, or null where there is none
 * @param peerListen the address that receives datagrams from other proxies, or null where there are
 *     none
 * @param peersAll an address that reaches all peers, or null
 * @param memory bytes of the machine's memory that the process may use; 0: no limit is stated
 * @param known the list of endpoints that this proxy had last, still as JSON
 */
record ProxyConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        long memory,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        JsonObject known,
        SiteSettings site) {

    static final int DEFAULT_SOCKETS = 1024;
    private static final int MEGABYTE = 1 << 20;

    /**
     * With fewer descriptors there are not enough for the process itself, discovery, one client and
     * one endpoint together.
     */
    private static final int MIN_SOCKETS = 8;

    /**
     * Parses the text of the configuration file.
     *
     * @throws IllegalArgumentException if the text is invalid; the message says why
     */
    static ProxyConfiguration parse(String text) {
        JsonObject json = JsonObject.parse(text);
        return new ProxyConfiguration(
                json.text("name", ""),
                Addresses.parse(json.text("listen", null)),
                optional(json.text("admin_addr", "")),
                Addresses.parse(json.text("discovery", null)),
                seed(json.text("seed", null)),
                sockets(json),
                (long) (json.child("limits").number("memory_mb", 0, 0, MEGABYTE) * MEGABYTE),
                optional(json.text("peer_listen", "")),
                json.texts("peers").stream().map(Addresses::parse).toList(),
                optional(json.text("peers_all", "")),
                json.child("known"),
                SettingsReader.read(json.child("settings")));
    }

    /** Returns the number of descriptors that a configuration allows. */
    static int sockets(JsonObject json) {
        return (int) json.child("limits").number("sockets", DEFAULT_SOCKETS, MIN_SOCKETS, MEGABYTE);
    }

    /**
     * Returns the configuration with the operators' address from the environment, where that is
     * set.
     */
    ProxyConfiguration withAdmin(String address) {
        return address == null || address.isEmpty()
                ? this
                : new ProxyConfiguration(
                        name,
                        listen,
                        Addresses.parse(address),
                        discovery,
                        seed,
                        sockets,
                        memory,
                        peerListen,
                        peers,
                        peersAll,
                        known,
                        site);
    }

    /**
     * Returns the configuration without the list, so that a process that has read the list needs no
     * memory for it.
     */
    ProxyConfiguration withoutKnown() {
        return new ProxyConfiguration(
                name,
                listen,
                admin,
                discovery,
                seed,
                sockets,
                memory,
                peerListen,
                peers,
                peersAll,
                null,
                site);
    }

    private static InetSocketAddress optional(String text) {
        return text.isEmpty() ? null : Addresses.parse(text);
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "'seed': found '"
                            + text
                            + "'; allowed: a hexadecimal number of up to 16 digits");
        }
    }
}
