package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;

/**
 * The properties of a replica of the proxy that determine its memory. Pods need none of their own,
 * and waves only their numbers in the route table: nodes store the numbers of their pods.
 *
 * @param list the loaded nodes, with the text of their list
 * @param zones of the settings
 * @param kinds of the settings
 * @param classes of requests
 * @param tenants of the settings
 * @param table the route table in use; null for none
 * @param clientConnections connections of clients
 * @param endpointConnections connections to nodes
 * @param activeRequests requests in progress
 * @param bodyBytes bytes of bodies that those requests buffer
 */
public record ProcessShape(
        EndpointListShape list,
        int zones,
        int kinds,
        int classes,
        int tenants,
        RouteTable table,
        int clientConnections,
        int endpointConnections,
        int activeRequests,
        long bodyBytes) {

    /** Returns the same shape with this many nodes, of the same kind. */
    ProcessShape withNodes(int nodes) {
        return new ProcessShape(
                list.withNodes(nodes),
                zones,
                kinds,
                classes,
                tenants,
                table,
                clientConnections,
                endpointConnections,
                activeRequests,
                bodyBytes);
    }
}
