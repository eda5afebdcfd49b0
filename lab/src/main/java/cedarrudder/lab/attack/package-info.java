/** A catalog of protocol violations by clients, each with the answer that is expected. */
package cedarrudder.lab.attack;
