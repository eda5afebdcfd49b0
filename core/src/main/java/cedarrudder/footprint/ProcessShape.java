package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;

/**
 * What a copy of the proxy is like, as far as it costs anything. Pods cost nothing by themselves,
 * nor do waves beyond their numbers in the route table: nodes hold the numbers of their pods.
 *
 * @param list the nodes that it holds, with the text of their list
 * @param zones of the settings
 * @param kinds of the settings
 * @param classes of requests
 * @param tenants of the settings
 * @param table the route table that it uses; null: none
 * @param callers connections of clients
 * @param channels connections to nodes
 * @param bodies requests under way
 * @param bodyBytes what those hold of bodies, in bytes
 */
public record ProcessShape(
        EndpointListShape list,
        int zones,
        int kinds,
        int classes,
        int tenants,
        RouteTable table,
        int callers,
        int channels,
        int bodies,
        long bodyBytes) {

    /** The same with this many nodes, of the same kind. */
    ProcessShape withNodes(int nodes) {
        return new ProcessShape(
                list.withNodes(nodes),
                zones,
                kinds,
                classes,
                tenants,
                table,
                callers,
                channels,
                bodies,
                bodyBytes);
    }
}
