/**
 * The model of the platform in virtual time, with the daemon's own forwarder and a balancer for
 * each proxy.
 */
package cedarrudder.lab.model;
