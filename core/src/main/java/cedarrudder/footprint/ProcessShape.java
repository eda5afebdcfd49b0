package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;

/**
 * The properties of a replica of the proxy that determine its memory. Pods need no property here,
 * since nodes store the numbers of their pods; waves need only their numbers in the route table.
 *
 * @param list the loaded nodes, with the text of their list
 * @param zones number of zones in the settings
 * @param kinds number of kinds in the settings
 * @param classes number of classes of requests
 * @param tenants number of tenants in the settings
 * @param table the route table in use; null for none
 * @param clientConnections number of connections of clients
 * @param endpointConnections number of connections to nodes
 * @param activeRequests number of requests in progress
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

    /** Returns this shape with its endpoint list scaled to this many nodes. */
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
