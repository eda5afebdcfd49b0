package cedarrudder.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a load run is to do.
 *
 * @param targets where clients connect; connections are dealt out in turn
 * @param leadSeconds what is to leave before this is sent and not counted: connections come up then
 * @param poisson whether gaps are those of a Poisson process; else they are even
 * @param connections open at once at most, over all threads; a request waits where all are busy
 * @param fresh whether each request has a connection of its own
 * @param bodyBytes the length of the body of requests that have one, up to 64 KiB
 * @param threads event loops, each with an even share of the sends and of the connections
 * @param seed of gaps, classes, tenants and ids
 * @param maxLateMillis the rate was kept if no more than one send in a hundred left later than this
 */
public record Options(
        List<InetSocketAddress> targets,
        Rate rate,
        double leadSeconds,
        Traffic traffic,
        boolean poisson,
        int connections,
        boolean fresh,
        String path,
        int bodyBytes,
        int threads,
        long seed,
        double maxLateMillis) {}
